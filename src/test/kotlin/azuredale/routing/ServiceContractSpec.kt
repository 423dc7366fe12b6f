package azuredale.routing

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.node.ClaimResult
import azuredale.node.NodeEvent
import azuredale.standin.ServiceFault
import azuredale.standin.ServiceStandIn
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sends requests through a router to two stand-in services, and tests the limits of the HTTP edge. */
@Timeout(60)
class ServiceContractSpec {
    private val vertx = Vertx.vertx()
    private val first = ServiceStandIn(vertx)
    private val second = ServiceStandIn(vertx, echoesRequest = false)
    private val client = HttpClient.newHttpClient()
    private lateinit var router: RouterFixture
    private val executionCount: Int get() = first.executions.size + second.executions.size

    @BeforeEach
    fun start(): Unit = runBlocking {
        first.start()
        second.start()
        val servers = arrayOf(server("s1", HERD, first.port), server("s2", HERD, second.port))
        router = RouterFixture(vertx, *servers) { it.copy(maximumRequestBytes = 10_000, maximumHeaders = 20) }
        router.start()
    }

    @AfterEach
    fun stop(): Unit = runBlocking {
        router.stop()
    }

    @Test
    fun `passes method, path, query and body through`() {
        val answer = call("PUT", "/service/herd/animals/7?full=yes", "cow")
        val body = JsonObject(answer.body())
        assertEquals(listOf("PUT", "/animals/7?full=yes", "cow"), listOf("method", "uri", "body").map(body::getString))
    }

    /** A fault of the first server, the expected response to a non-idempotent call and the number of times it runs. */
    class Case(
        val fault: ServiceFault,
        val status: Int,
        val execution: String,
        val runs: Int,
    ) {
        override fun toString(): String = fault.toString()
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `runs a non-idempotent call at most once whatever the server does`(case: Case) {
        // Guards against running a call again after an attempt with unknown result, and against a wrong not-run.
        val ticket = ticket()
        first.fault = { case.fault }
        val answers = List(2) { call("POST", "/service/herd/animals", "calf", "Azuredale-Ticket" to ticket) }
        assertEquals(List(2) { case.status to case.execution }, answers.map { it.statusCode() to it.execution() })
        assertEquals(case.runs, executionCount)
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `retries an idempotent call at another server`(case: Case) {
        first.fault = { case.fault }
        val answer = call("GET", "/service/herd/animals/7", "")
        val expected = if (case.fault is ServiceFault.Status) case.status else 200
        assertEquals(expected, answer.statusCode(), answer.body())
    }

    @Test
    fun `tries the next server when no connection was opened`() {
        runBlocking { first.stop() }
        val answer = call("POST", "/service/herd/animals", "calf", "Idempotency-Key" to "k1")
        assertEquals(200 to "run", answer.statusCode() to answer.execution())
        assertEquals(1, executionCount)
    }

    @Test
    fun `joins a duplicate to the call in progress`() {
        first.fault = { ServiceFault.DelayResponse(300) }
        val headers = "Azuredale-Ticket" to ticket()
        val both =
            List(2) {
                CompletableFuture.supplyAsync { call("POST", "/service/herd/animals", "calf", headers) }
            }.map { it.get() }
        assertEquals(listOf(200, 200), both.map { it.statusCode() })
        assertEquals(both[0].body(), both[1].body())
        assertEquals(1, executionCount)
    }

    @Test
    fun `keeps the outcome for a caller that disconnected during the call`() {
        first.fault = { ServiceFault.DelayResponse(300) }
        val ticket = ticket()
        val request = request("POST", "/service/herd/animals", "calf", listOf("Azuredale-Ticket" to ticket))
        val lost = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        while (executionCount == 0) Thread.sleep(5)
        lost.cancel(true)
        assertEquals(200, call("POST", "/service/herd/animals", "calf", "Azuredale-Ticket" to ticket).statusCode())
        assertEquals(1, executionCount)
    }

    @Test
    fun `states the execution of every refusal`() {
        router.claim = { if (it.endsWith("down")) ClaimResult.UNAVAILABLE else ClaimResult.HELD }
        val foreign = router.tickets.issue(RouterId("r2"), Incarnation(1), COUNTER, systemClock()())
        val post = "/service/herd/animals"
        val large = "x".repeat(10_001)
        val many = Array(21) { "x-header-$it" to "1" }
        val table =
            listOf(
                call("POST", post, "calf") to "428 IDENTITY_REQUIRED not-run",
                call("POST", post, "calf", "Azuredale-Ticket" to foreign) to "409 TICKET_FOREIGN unknown",
                call("POST", post, "calf", "Azuredale-Ticket" to "bad") to "400 TICKET_INVALID not-run",
                call("POST", post, "calf", "Idempotency-Key" to "down") to "503 CLAIM_UNAVAILABLE unknown",
                call("POST", post, "calf", "Idempotency-Key" to "held") to "409 CLAIMED_ELSEWHERE unknown",
                call("GET", "/service/other/x", "") to "404 UNKNOWN_POOL not-run",
                call("GET", post, "", "Azuredale-Deadline" to "soon") to "400 INVALID_REQUEST not-run",
                call("GET", post, "", "Azuredale-Deadline" to "1000") to "503 DEADLINE_BEFORE_START not-run",
                call("PUT", post, large) to "413 REQUEST_TOO_LARGE not-run",
                call("GET", post, "", *many) to "413 REQUEST_TOO_LARGE not-run",
                call("POST", "/v1/completions", "{") to "400 INVALID_REQUEST not-run",
                call("POST", "/v1/completions", """{"model":"none","prompt":"p"}""") to "404 UNKNOWN_MODEL not-run",
                call("GET", "/v1/address?team=nobody", "") to "403 UNKNOWN_TEAM not-run",
            )
        for ((answer, expected) in table) assertEquals(expected, answer.summary(), answer.body())
        assertEquals(0, executionCount)
    }

    @Test
    fun `finishes running calls and refuses new ones while draining`() {
        first.fault = { ServiceFault.DelayResponse(300) }
        val running = CompletableFuture.supplyAsync { call("GET", "/service/herd/animals/7", "") }
        while (executionCount == 0) Thread.sleep(5)
        router.post(NodeEvent.DrainRequested)
        assertEquals("503 DRAINING not-run", call("GET", "/service/herd/animals/8", "").summary())
        assertEquals(200, running.get().statusCode())
    }

    @Test
    fun `lets the caller detect that a large response is truncated when the server fails`() {
        // Guards against a truncated body that a caller takes for a complete one.
        val large = ServiceStandIn(vertx, padding = 2_000_000)
        runBlocking { large.start() }
        large.fault = { ServiceFault.DisconnectMidResponse }
        router.accepted = document(server("s1", HERD, large.port), server("s2", HERD, second.port))
        val result = runCatching { call("GET", "/service/herd/animals/7", "") }
        assertTrue(result.isFailure || result.getOrThrow().statusCode() == 502, result.toString())
    }

    @Test
    fun `rejects a response with neither a length nor chunked encoding`() {
        // Guards against passing on a truncated body as complete: its end looks the same as a failure of the server.
        val raw =
            vertx.createNetServer().connectHandler { socket ->
                socket.handler { socket.write("HTTP/1.1 200 OK\r\n\r\npart").onComplete { socket.close() } }
            }
        val port = runBlocking { raw.listen(0, "127.0.0.1").coAwait().actualPort() }
        router.accepted = document(server("s1", HERD, port), server("s2", HERD, port))
        val answer = call("POST", "/service/herd/animals", "calf", "Azuredale-Ticket" to ticket())
        assertEquals("502 BACKEND_FAILED unknown", answer.summary())
    }

    @Test
    fun `never delivers a response whose head is cut`() {
        // Guards against a cut head that is delivered as a complete answer with an empty or short body.
        val head = "HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 4\r\n\r\n"
        var cut = 0
        val raw =
            vertx.createNetServer().connectHandler { socket ->
                socket.handler { socket.write(head.take(cut)).onComplete { socket.close() } }
            }
        val port = runBlocking { raw.listen(0, "127.0.0.1").coAwait().actualPort() }
        router.accepted = document(server("s1", HERD, port), server("s2", HERD, port))
        while (cut < head.length) {
            val answer = call("POST", "/service/herd/animals", "calf", "Azuredale-Ticket" to ticket())
            assertEquals("502 BACKEND_FAILED unknown", answer.summary(), "cut at $cut")
            cut++
        }
    }

    private fun ticket(): String {
        val answer = JsonObject(call("GET", "/v1/address?team=counter&count=1&tickets=1", "").body())
        return answer
            .getJsonArray("addresses")
            .getJsonObject(0)
            .getJsonArray("tickets")
            .getString(0)
    }

    private fun call(method: String, path: String, body: String, vararg headers: Pair<String, String>) =
        client.send(request(method, path, body, headers.toList()), HttpResponse.BodyHandlers.ofString())

    private fun request(method: String, path: String, body: String, headers: List<Pair<String, String>>): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:${router.edge.actualPort}$path"))
            .apply { headers.forEach { (name, value) -> header(name, value) } }
            .header("Authorization", "Bearer ${COUNTER.name}")
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build()

    private fun HttpResponse<String>.execution() = headers().firstValue("Azuredale-Execution").orElse("none")

    private fun HttpResponse<String>.summary() =
        "${statusCode()} ${headers().firstValue("Azuredale-Outcome").orElse("none")} ${execution()}"

    companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(ServiceFault.DisconnectBeforeRun, 502, "unknown", 0),
            Case(ServiceFault.DisconnectAfterRun, 502, "unknown", 1),
            Case(ServiceFault.DisconnectMidResponse, 502, "unknown", 1),
            Case(ServiceFault.RespondToOtherRequest("r9-1-1"), 502, "unknown", 1),
            Case(ServiceFault.DelayResponse(50), 200, "run", 1),
            Case(ServiceFault.Status(500), 500, "run", 0),
        )
    }
}
