package azuredale.node

import azuredale.configuration.DocumentEdits
import azuredale.configuration.DocumentWriter
import azuredale.configuration.ParseResult
import azuredale.configuration.SubmissionResult
import azuredale.console.Submission
import azuredale.demo.DemoFleet
import azuredale.identity.BatchId
import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull

/** Runs three routers over real sockets; other specs test decisions under failure without sockets. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FleetEndToEndSpec {
    private val vertx = Vertx.vertx()
    private val fleet = DemoFleet(vertx)
    private val client = HttpClient.newHttpClient()

    @BeforeAll
    fun start() = runBlocking { fleet.start() }

    @AfterAll
    fun stop() = runBlocking {
        fleet.stop()
        vertx.close().coAwait()
        Unit
    }

    @Nested
    inner class IdempotencyKey {
        @Test
        fun `a request with an idempotency key runs once when it is sent to two routers`() {
            // Guards against running a request twice when a client repeats it at another router.
            val answers = fleet.callerAddresses.take(2).map { release(it, "key-1", "Idempotency-Key" to "key-1") }
            assertEquals(listOf(200, 409), answers.map { it.statusCode() })
            assertEquals("CLAIMED_ELSEWHERE", answers[1].header("Azuredale-Outcome"))
            assertEquals("unknown", answers[1].header("Azuredale-Execution"))
            assertEquals(1, executions("key-1"))
        }

        @Test
        fun `a repeat at the same router gets the same answer`() {
            val answers = List(2) { release(fleet.callerAddresses[0], "key-2", "Idempotency-Key" to "key-2") }
            assertEquals(answers[0].body(), answers[1].body())
            assertEquals(1, executions("key-2"))
        }

        @Test
        fun `a call without an identity is refused and does not run`() {
            val answer = release(fleet.callerAddresses[0], "no-identity")
            assertEquals(428, answer.statusCode())
            assertEquals("not-run", answer.header("Azuredale-Execution"))
            assertEquals(0, executions("no-identity"))
        }
    }

    @Nested
    inner class Ticket {
        @Test
        fun `a ticket of another router never runs`() {
            // Guards against running a request twice because a router accepts a ticket that another one issued.
            val planned = JsonObject(address().body()).getJsonArray("addresses").getJsonObject(0)
            val ticket = planned.getJsonArray("tickets").getString(0)
            val other = fleet.callerAddresses.first { it.toString() != planned.getString("address") }
            val answer = release(other, "foreign", "Azuredale-Ticket" to ticket)
            assertEquals(409, answer.statusCode())
            assertEquals("unknown", answer.header("Azuredale-Execution"))
            assertEquals(0, executions("foreign"))
        }
    }

    @Nested
    inner class Configuration {
        @Test
        fun `a recall is in force at every router within three seconds`() = runBlocking {
            // Guards against a router that keeps sending requests to servers of a recalled batch.
            val accepted =
                assertNotNull(
                    fleet.routers[0]
                        .node.documents
                        .document(),
                )
            val recalled =
                assertIs<ParseResult.Valid<*>>(DocumentEdits.withRecall(accepted.document, BatchId("blue"), "test"))
            val text = DocumentWriter.write(recalled.value as azuredale.configuration.Document)
            val submission = Submission(text, accepted.revision, "recall-blue")
            val result = assertIs<SubmissionResult.Accepted>(fleet.routers[0].submit(submission))
            val isInForce = withTimeoutOrNull(3_000) { awaitRevision(result.document.revision) }
            assertNotNull(isInForce, "revisions: ${revisions()}")
            val raced = fleet.routers[1].submit(submission.copy(submissionId = "late"))
            assertEquals("recall-blue", assertIs<SubmissionResult.Raced>(raced).winner)
        }
    }

    private suspend fun awaitRevision(revision: Revision) {
        while (revisions().any { it < revision }) delay(20)
    }

    private fun revisions(): List<Revision> = fleet.routers.map {
        it.node.documents
            .document()
            ?.revision ?: Revision.NONE
    }

    private fun executions(body: String): Int = fleet.service.executions.count { it.body == body }

    private fun address(): HttpResponse<String> {
        val uri = URI("http://${fleet.callerAddresses[0]}/v1/address?team=kiosk&count=1&tickets=1")
        return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun release(
        address: NetworkAddress,
        body: String,
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(URI("http://$address/service/lockers/release"))
                .header("Azuredale-Team", "kiosk")
                .POST(HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun HttpResponse<String>.header(name: String): String = headers().firstValue(name).orElse("")
}
