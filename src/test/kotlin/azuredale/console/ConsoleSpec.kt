package azuredale.console

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.Document
import azuredale.configuration.DocumentParser
import azuredale.configuration.DocumentWriter
import azuredale.configuration.ParseResult
import azuredale.configuration.SubmissionResult
import azuredale.configuration.Team
import azuredale.identity.PoolId
import azuredale.identity.Revision
import azuredale.identity.TeamId
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

class ConsoleSpec {
    private val vertx = Vertx.vertx()
    private val client = HttpClient.newHttpClient()
    private val submitted = mutableListOf<Submission>()
    private var accepted = accept(1, document(share = 1.0))
    private var answer: (Submission) -> SubmissionResult = { SubmissionResult.Accepted(accept(2, read(it.text))) }
    private val operations =
        RouterOperations(
            document = { accepted },
            submit = { submission -> answer(submission).also { submitted += submission } },
            status = { FleetStatus("router-1", 1, 1, true, true, false, listOf(), listOf(), listOf(), listOf()) },
            drain = { },
            metrics = { "" },
            burnReport = { "" },
        )
    private val edge =
        OperatorHttpServer(
            vertx,
            operatorTestSettings(),
            operations,
            CoroutineScope(Dispatchers.Default),
            systemClock(),
        )
    private var cookie = ""

    @BeforeEach
    fun start() = runBlocking { edge.start() }

    @AfterEach
    fun stop() = runBlocking {
        edge.stop()
        vertx.close().coAwait()
        Unit
    }

    @Nested
    inner class Session {
        @Test
        fun `a wrong token is rejected and gives no access`() {
            // Guards against unauthenticated access to the console.
            val response = post("/console/login", mapOf("token" to "wrong"))
            assertEquals(401, response.statusCode())
            assertEquals(401, get("/console").statusCode())
            assertEquals(401, post("/console/submit", draft(document(2.0))).statusCode())
            assertEquals(emptyList(), submitted)
        }

        @Test
        fun `a forged cookie is rejected`() {
            cookie = "${ConsoleSession.COOKIE}=9999999999999999.AAAA"
            assertEquals(401, get("/console").statusCode())
        }
    }

    @Nested
    inner class Edit {
        @Test
        fun `an invalid value is shown with its error and leaves the draft unchanged`() {
            // Guards against losing the operator's input, and against a draft that contains a rejected value.
            login()
            val form =
                mapOf("kind" to "team", "action" to "save", "id" to "kiosk", "share" to "-3", "pools" to "models")
            val response = post("/console/edit", draft(document(1.0)) + form)
            assertEquals(422, response.statusCode())
            assertContains(response.body(), "id=\"team-share-error\"")
            assertContains(response.body(), "value=\"-3\"")
            assertFalse(response.body().contains("share = -3"))
        }

        @Test
        fun `every field has a label and the page contains no script`() {
            login()
            val page = get("/console").body()
            val inputs =
                Regex(
                    "<(?:input type=\"text\"|select)[^>]* id=\"([^\"]+)\"",
                ).findAll(page).map { it.groupValues[1] }
            inputs.forEach { assertContains(page, "for=\"$it\"") }
            assertEquals(EntryForms.all.sumOf { it.fields.size }, inputs.count())
            assertFalse(page.contains("<script"))
        }
    }

    @Nested
    inner class Submit {
        @Test
        fun `submits the whole draft based on the revision that was read`() {
            login()
            val response = post("/console/submit", draft(document(2.0)))
            assertContains(response.body(), "Revision 2 is in force")
            assertEquals(Revision(1), submitted.single().basedOn)
            assertEquals(2.0, read(submitted.single().text).teams.getValue(TeamId("kiosk")).share)
        }

        @Test
        fun `a conflicting submission shows the other operator's change and keeps the draft`() {
            // Guards against one operator silently overwriting the changes of another.
            login()
            answer = {
                val other = document(1.0).let { it.copy(teams = it.teams + (counter.id to counter)) }
                accepted = accept(2, other)
                SubmissionResult.Raced("form-of-another", Revision(2))
            }
            val response = post("/console/submit", draft(document(5.0)))
            assertEquals(409, response.statusCode())
            assertContains(response.body(), "[team counter]: added")
            assertContains(response.body(), "[team kiosk] share: 1 -&gt; 5")
            assertContains(response.body(), "name=\"revision\" value=\"2\"")
        }

        @Test
        fun `the review page offers no submission for a draft with an unresolved reference`() {
            login()
            val broken = document(1.0).copy(pools = emptyMap())
            val response = post("/console/review", draft(broken))
            assertContains(response.body(), "Faults")
            assertFalse(response.body().contains("Submit document"))
        }
    }

    private fun login() {
        val response = post("/console/login", mapOf("token" to TEST_OPERATOR_TOKEN))
        cookie =
            response
                .headers()
                .firstValue("Set-Cookie")
                .get()
                .substringBefore(';')
    }

    private fun draft(document: Document): Map<String, String> = mapOf(
        "revision" to "1",
        "base" to DocumentWriter.write(document(1.0)),
        "draft" to DocumentWriter.write(document),
    )

    private fun get(path: String): HttpResponse<String> = send(request(path).GET())

    private fun post(path: String, form: Map<String, String>): HttpResponse<String> {
        val body = form.entries.joinToString("&") { "${it.key}=${URLEncoder.encode(it.value, Charsets.UTF_8)}" }
        val request = request(path).header("Content-Type", "application/x-www-form-urlencoded")
        return send(request.POST(HttpRequest.BodyPublishers.ofString(body)))
    }

    private fun request(path: String): HttpRequest.Builder =
        HttpRequest.newBuilder(URI("http://127.0.0.1:${edge.actualPort}$path")).also {
            if (cookie.isNotEmpty()) it.header("Cookie", cookie)
        }

    private fun send(request: HttpRequest.Builder): HttpResponse<String> =
        client.send(request.build(), HttpResponse.BodyHandlers.ofString())

    private companion object {
        val pool = PoolId("models")
        val counter = Team(TeamId("counter"), 1.0, setOf(pool))

        fun document(share: Double): Document =
            read("[failure-domain south-a]\nregion = south\n[pool models]\nkind = model\n").copy(
                teams = mapOf(TeamId("kiosk") to Team(TeamId("kiosk"), share, setOf(pool))),
            )

        fun read(text: String): Document = assertIs<ParseResult.Valid<Document>>(DocumentParser.parse(text)).value

        fun accept(revision: Long, document: Document) =
            AcceptedDocument(Revision(revision), DocumentWriter.write(document), document, "submission-$revision")
    }
}
