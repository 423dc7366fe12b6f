package azuredale.console

import azuredale.configuration.Document
import azuredale.configuration.DocumentDifference
import azuredale.configuration.DocumentParser
import azuredale.configuration.DocumentWriter
import azuredale.configuration.ParseResult
import azuredale.configuration.SubmissionResult
import azuredale.identity.Revision
import azuredale.logging.EventLog
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import io.vertx.core.http.Cookie
import io.vertx.core.http.CookieSameSite
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.UUID

/**
 * Web console for editing the configuration document with HTML forms.
 *
 * Edits collect in a draft, which is submitted as a whole, based on the revision that the operator read. The draft is
 * carried in hidden fields of each page, so any router can serve the next request.
 */
internal class ConsoleRoutes(
    private val operations: RouterOperations,
    private val token: OperatorToken,
    private val session: ConsoleSession,
    private val scope: CoroutineScope,
) {
    private val log = EventLog("azuredale.console")

    /** Adds the console's routes to [router]. */
    fun install(router: Router) {
        router.post("/console/login").handler(::login)
        router.route("/console*").handler(::requireSession)
        router.route("/report/*").handler(::requireSession)
        router.get("/report/burn").handler { it.html(operations.burnReport(BurnReportFormat.HTML)) }
        router.get("/console").handler(::overview)
        router.post("/console/edit").handler { context -> withDraft(context) { edit(context, it) } }
        router.post("/console/review").handler { context -> withDraft(context) { context.html(review(it)) } }
        router.post("/console/submit").handler { context -> withDraft(context) { submit(context, it) } }
    }

    private fun login(context: RoutingContext) {
        if (token.acceptsToken(context.request().getFormAttribute("token").orEmpty())) {
            val cookie =
                Cookie
                    .cookie(ConsoleSession.COOKIE, session.issue())
                    .setPath("/")
                    .setHttpOnly(true)
                    .setSameSite(CookieSameSite.STRICT)
                    .setMaxAge(ConsoleSession.VALID_SECONDS)
            context.response().addCookie(cookie)
            context.redirect("/console")
        } else {
            log.write(ConsoleLogEvent.OPERATOR_UNAUTHORIZED, "remote" to context.request().remoteAddress())
            context.response().setStatusCode(ErrorKind.UNAUTHORIZED.status)
            context.html(ConsolePage.login("The operator token is not valid."))
        }
    }

    private fun requireSession(context: RoutingContext) {
        if (session.accepts(context.request().getCookie(ConsoleSession.COOKIE)?.value)) {
            context.next()
        } else {
            context.response().setStatusCode(ErrorKind.UNAUTHORIZED.status)
            context.html(ConsolePage.login(null))
        }
    }

    private fun overview(context: RoutingContext) {
        context.html(ConsolePage.edit(currentDraft()))
    }

    private fun currentDraft(): Draft {
        val accepted = operations.document()
        val document = accepted?.document ?: Document(emptyMap(), emptyMap(), emptyMap(), emptyMap())
        return draft(accepted?.revision ?: Revision.NONE, document, document)
    }

    private fun edit(context: RoutingContext, draft: Draft) {
        val form = EntryForms.all.firstOrNull { it.kind == context.field("kind") }
        val key = context.field("key")
        when {
            form == null -> context.html(ConsolePage.edit(draft))
            context.field(
                "action",
            ) == "remove" -> context.html(ConsolePage.edit(draft.with(form.delete(draft.document, key))))
            context.field("action") == "open" -> {
                val values = form.rows(draft.document).firstOrNull { it[form.keyField] == key }.orEmpty()
                context.html(ConsolePage.edit(draft, OpenForm(form.kind, values)))
            }
            else -> save(context, draft, form)
        }
    }

    private fun save(context: RoutingContext, draft: Draft, form: EntryForm) {
        val values = form.fields.associate { it.name to context.field(it.name) }
        when (val result = form.save(draft.document, values)) {
            is FormResult.Accepted -> context.html(ConsolePage.edit(draft.with(result.document)))
            is FormResult.Rejected -> {
                context.response().setStatusCode(ErrorKind.DOCUMENT_INVALID.status)
                context.html(ConsolePage.edit(draft, OpenForm(form.kind, values, result.errors)))
            }
        }
    }

    private fun review(
        draft: Draft,
        notices: List<String> = emptyList(),
        otherChanges: List<String> = emptyList(),
    ): String {
        val faults = (DocumentParser.parse(draft.documentText) as? ParseResult.Invalid)?.errors.orEmpty()
        return ConsolePage.review(draft, Review(describe(draft.base, draft.document), faults, notices, otherChanges))
    }

    private fun submit(context: RoutingContext, draft: Draft) {
        scope.launch {
            val submission = Submission(draft.documentText, draft.revision, UUID.randomUUID().toString())
            val result = operations.submit(submission)
            val failure = result.failure
            if (result is SubmissionResult.Accepted) {
                context.html(ConsolePage.accepted(result.document.revision))
            } else if (failure != null) {
                refuse(context, draft, failure)
            }
        }
    }

    private fun refuse(context: RoutingContext, draft: Draft, failure: Failure) {
        val notice = "${failure.kind.text}. ${failure.detail}".trim()
        context.response().setStatusCode(failure.kind.status)
        val newer = operations.document()
        if (failure.kind == ErrorKind.DOCUMENT_RACED && newer != null && newer.revision > draft.revision) {
            val merged = mergeDraft(draft.base, draft.document, newer.document)
            val notices = listOf(notice) + merged.conflicts.map { "Another operator changed $it; your value is kept." }
            val others = describe(draft.base, newer.document)
            context.html(review(draft(newer.revision, newer.document, merged.document), notices, others))
        } else {
            context.html(review(draft, listOf(notice)))
        }
    }

    private fun withDraft(context: RoutingContext, block: (Draft) -> Unit) {
        val revision = context.field("revision").toLongOrNull()
        val base = parse(context.field("base"))
        val document = parse(context.field("draft"))
        if (revision == null || base == null || document == null) {
            context.response().setStatusCode(ErrorKind.INVALID_REQUEST.status)
            context.html(ConsolePage.edit(currentDraft()))
        } else {
            block(draft(Revision(revision), base, document))
        }
    }

    /** Parses a draft. Unresolved references are accepted here, because the review page reports them. */
    private fun parse(text: String): Document? = (DocumentParser.parseDraft(text) as? ParseResult.Valid)?.value

    private fun draft(revision: Revision, base: Document, document: Document): Draft =
        Draft(revision, base, document, DocumentWriter.write(base), DocumentWriter.write(document))

    private fun Draft.with(document: Document): Draft = draft(revision, base, document)

    private fun describe(before: Document, after: Document): List<String> =
        DocumentDifference.between(before, after).map { it.toString() }

    private fun RoutingContext.field(name: String): String = request().getFormAttribute(name).orEmpty()

    private fun RoutingContext.html(body: String) {
        response()
            .putHeader("Content-Type", "text/html; charset=utf-8")
            .putHeader("Cache-Control", "no-store")
            .putHeader("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'")
            .end(body)
    }
}
