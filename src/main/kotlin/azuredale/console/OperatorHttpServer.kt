package azuredale.console

import azuredale.configuration.ConfigurationError
import azuredale.configuration.DocumentEdits
import azuredale.configuration.DocumentWriter
import azuredale.configuration.ParseResult
import azuredale.configuration.RouterSettings
import azuredale.configuration.SubmissionResult
import azuredale.identity.BatchId
import azuredale.identity.Revision
import azuredale.logging.EventLog
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Clock
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.util.UUID

/**
 * HTTP server for operators: health, metrics, status, document, recall, drain, burn-rate report and web console.
 *
 * Health checks and metrics need no authentication. The API under `/v1` requires
 * `Authorization: Bearer <operator token>`; the console uses a session cookie.
 */
internal class OperatorHttpServer(
    private val vertx: Vertx,
    private val settings: RouterSettings,
    private val operations: RouterOperations,
    private val scope: CoroutineScope,
    clock: Clock,
) {
    private val log = EventLog("azuredale.console")
    private val token = OperatorToken(settings.operatorToken)
    private val console = ConsoleRoutes(operations, token, ConsoleSession(settings.operatorToken, clock), scope)
    private var server: HttpServer? = null

    /** Port that the server listens on; zero before [start]. */
    val actualPort: Int get() = server?.actualPort() ?: 0

    /** Opens the listening socket. */
    suspend fun start() {
        val options =
            HttpServerOptions()
                .setHost(settings.operatorAddress.host)
                .setPort(settings.operatorAddress.port)
                .setMaxFormAttributeSize(MAXIMUM_BODY_BYTES.toInt())
                .setMaxFormBufferedBytes(MAXIMUM_BODY_BYTES.toInt())
        server =
            vertx
                .createHttpServer(options)
                .requestHandler(routes())
                .listen()
                .coAwait()
        log.write(ConsoleLogEvent.OPERATOR_INTERFACE_STARTED, "address" to settings.operatorAddress)
    }

    /** Closes the listening socket. */
    suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun routes(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
        router.get("/healthz").handler { it.sendText("ok\n") }
        router.get("/readyz").handler(::readiness)
        router.get("/metrics").handler { it.sendText(operations.metrics()) }
        console.install(router)
        router.route("/v1/*").handler(::authorize)
        router
            .get(
                "/v1/show",
            ).handler { it.sendJson(Json.encodeToString(FleetStatus.serializer(), operations.status())) }
        router.get("/v1/document").handler(::document)
        router.put("/v1/document").handler { launchHandler(it) { submit(it) } }
        router.post("/v1/recall").handler { launchHandler(it) { recall(it) } }
        router.post("/v1/drain").handler(::drain)
        router.get("/v1/report/burn").handler(::burnReport)
        return router
    }

    private fun authorize(context: RoutingContext) {
        if (token.accepts(context.request().getHeader("Authorization"))) {
            context.next()
        } else {
            log.write(ConsoleLogEvent.OPERATOR_UNAUTHORIZED, "remote" to context.request().remoteAddress())
            context.sendFailure(Failure(ErrorKind.UNAUTHORIZED))
        }
    }

    private fun readiness(context: RoutingContext) {
        val status = operations.status()
        val isReady = status.isReady && !status.isDraining
        context.response().setStatusCode(if (isReady) STATUS_OK else ErrorKind.NOT_READY.status)
        context.sendText(if (isReady) "ready\n" else "not ready\n")
    }

    private fun document(context: RoutingContext) {
        val accepted = operations.document()
        if (accepted == null) {
            context.sendFailure(Failure(ErrorKind.NOT_READY, "no document has been accepted yet"))
        } else {
            context.response().putHeader(REVISION_HEADER, accepted.revision.toString())
            context.sendText(accepted.text)
        }
    }

    private suspend fun submit(context: RoutingContext) {
        val based = context.queryParam("revision").firstOrNull()?.toLongOrNull()
        val text = context.body().asString().orEmpty()
        if (based == null) {
            val detail = "query parameter \"revision\" must be the revision that the submission is based on"
            context.sendFailure(Failure(ErrorKind.INVALID_REQUEST, detail))
        } else {
            submit(context, Submission(text, Revision(based), submissionId(context)))
        }
    }

    private suspend fun recall(context: RoutingContext) {
        val batch = context.queryParam("batch").firstOrNull()?.takeIf { it.isNotBlank() }
        val reason = context.queryParam("reason").firstOrNull().orEmpty()
        val accepted = operations.document()
        when {
            batch == null ->
                context.sendFailure(
                    Failure(ErrorKind.INVALID_REQUEST, "query parameter \"batch\" is missing"),
                )
            accepted == null -> context.sendFailure(Failure(ErrorKind.NOT_READY, "no document has been accepted yet"))
            else ->
                when (val changed = DocumentEdits.withRecall(accepted.document, BatchId(batch), reason)) {
                    is ParseResult.Invalid -> context.sendFailure(Failure(ErrorKind.DOCUMENT_INVALID), changed.errors)
                    is ParseResult.Valid -> {
                        val text = DocumentWriter.write(changed.value)
                        submit(context, Submission(text, accepted.revision, submissionId(context)))
                    }
                }
        }
    }

    private suspend fun submit(context: RoutingContext, submission: Submission) {
        val result = operations.submit(submission)
        val failure = result.failure
        log.write(
            ConsoleLogEvent.DOCUMENT_SUBMITTED,
            "submission" to submission.submissionId,
            "based_on" to submission.basedOn,
            "result" to (failure?.kind ?: "accepted"),
        )
        when (result) {
            is SubmissionResult.Accepted ->
                context.sendJson(buildJsonObject { put("revision", result.document.revision.value) }.toString())
            is SubmissionResult.Invalid -> context.sendFailure(result.failure, result.errors)
            is SubmissionResult.Raced -> context.sendFailure(result.failure)
            is SubmissionResult.Failed -> context.sendFailure(result.failure)
        }
    }

    private fun submissionId(context: RoutingContext): String =
        context.queryParam("submission").firstOrNull() ?: UUID.randomUUID().toString()

    private fun drain(context: RoutingContext) {
        log.write(ConsoleLogEvent.DRAIN_REQUESTED, "remote" to context.request().remoteAddress())
        operations.drain()
        context.sendJson(buildJsonObject { put("draining", true) }.toString())
    }

    private fun burnReport(context: RoutingContext) {
        when (context.queryParam("format").firstOrNull() ?: "text") {
            "text" -> context.sendText(operations.burnReport(BurnReportFormat.TEXT))
            "json" -> context.sendJson(operations.burnReport(BurnReportFormat.JSON))
            else -> context.sendFailure(Failure(ErrorKind.INVALID_REQUEST, "parameter \"format\" must be text or json"))
        }
    }

    private fun launchHandler(context: RoutingContext, block: suspend () -> Unit) {
        scope.launch {
            try {
                block()
            } catch (failure: Exception) {
                log.write(ConsoleLogEvent.OPERATOR_REQUEST_FAILED, cause = failure)
                context.response().setStatusCode(STATUS_INTERNAL_ERROR).end()
            }
        }
    }

    private fun RoutingContext.sendText(body: String) {
        response().putHeader("Content-Type", "text/plain; charset=utf-8").end(body)
    }

    private fun RoutingContext.sendJson(body: String) {
        response().putHeader("Content-Type", "application/json").end(body)
    }

    private fun RoutingContext.sendFailure(failure: Failure, faults: List<ConfigurationError> = emptyList()) {
        val body =
            buildJsonObject {
                put("kind", failure.kind.name)
                put("message", failure.kind.text)
                put("detail", failure.detail)
                if (faults.isNotEmpty()) putJsonArray("faults") { faults.forEach { add(it.toString()) } }
            }
        response().setStatusCode(failure.kind.status)
        sendJson(body.toString())
    }

    internal companion object {
        const val REVISION_HEADER = "Azuredale-Revision"

        /** A console form carries two URL-encoded documents, the draft and its base. */
        private const val MAXIMUM_BODY_BYTES = 8_388_608L
        private const val STATUS_OK = 200
        private const val STATUS_INTERNAL_ERROR = 500
    }
}
