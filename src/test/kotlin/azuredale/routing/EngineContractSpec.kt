package azuredale.routing

import azuredale.standin.EngineFault
import azuredale.standin.EngineSettings
import azuredale.standin.EngineStandIn
import azuredale.standin.ResponseText
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Sends requests through a router to two stand-in engines, of which usually only the first is faulty. */
@Timeout(60)
class EngineContractSpec {
    private val vertx = Vertx.vertx()
    private val speed = EngineSettings(tokensPerSecond = 2_000.0, firstTokenMilliseconds = 1, defaultTokens = TOKENS)
    private val first = EngineStandIn(vertx, speed)
    private val second = EngineStandIn(vertx, speed)
    private val client = HttpClient.newHttpClient()
    private lateinit var router: RouterFixture

    @BeforeEach
    fun start(): Unit = runBlocking {
        first.start()
        second.start()
        val servers = arrayOf(server("e1", MODELS, first.port), server("e2", MODELS, second.port))
        router = RouterFixture(vertx, *servers) { it.copy(stallTimeoutMilliseconds = 300) }
        router.start()
    }

    @AfterEach
    fun stop(): Unit = runBlocking {
        router.stop()
    }

    @Nested
    inner class Whole {
        @Test
        fun `streams every token once and ends with the end marker`() {
            val answer = ask(isStream = true)
            assertEquals(ResponseText.complete(PROMPT, TOKENS), text(answer))
            assertTrue(answer.body().endsWith("data: [DONE]\n\n"))
            assertEquals(listOf(TOKENS.toDouble()), router.settled.toList())
        }

        @Test
        fun `returns a complete response to a caller that does not stream`() {
            val answer = ask(isStream = false)
            val choice = JsonObject(answer.body()).getJsonArray("choices").getJsonObject(0)
            assertEquals(ResponseText.complete(PROMPT, TOKENS), choice.getString("text"))
            assertEquals("COMPLETED", answer.headers().firstValue("Azuredale-Outcome").get())
        }

        @Test
        fun `returns chat completions with and without streaming`() {
            val messages = JsonArray().add(JsonObject().put("role", "user").put("content", "hello"))
            val body = JsonObject().put("model", "small").put("messages", messages)
            val expected = ResponseText.complete("user: hello", TOKENS)
            val whole = JsonObject(post("/v1/chat/completions", body).body()).getJsonArray("choices").getJsonObject(0)
            assertEquals(expected, whole.getJsonObject("message").getString("content"))
            val streamed = post("/v1/chat/completions", body.put("stream", true))
            assertEquals(expected, text(streamed))
        }
    }

    @ParameterizedTest
    @MethodSource("recoverable")
    fun `resumes or retries an idempotent request without duplicated or lost tokens`(fault: EngineFault) {
        // Guards against a response that looks complete but is truncated, repeats text or has text of another request.
        for (isStream in listOf(true, false)) {
            first.fault = { _, _ -> fault }
            val answer = ask(isStream)
            assertEquals(200, answer.statusCode(), answer.body())
            val expected = ResponseText.complete(PROMPT, TOKENS)
            val received = if (isStream) text(answer) else JsonObject(answer.body()).firstText()
            assertEquals(expected, received, "$fault stream=$isStream")
        }
        assertTrue(second.received > 0, "the second engine was asked")
    }

    @ParameterizedTest
    @MethodSource("lasting")
    fun `ends a stream with an error event when no engine can complete it`(fault: EngineFault) {
        // Guards against sending `[DONE]` for an incomplete response, or reporting not-run after the request was sent.
        listOf(first, second).forEach { it.fault = { _, _ -> fault } }
        val answer = ask(isStream = true)
        assertFalse(answer.body().contains("[DONE]"), "$fault")
        assertTrue(answer.body().contains("\"execution\":\"unknown\""), "$fault: ${answer.body()}")
    }

    @Test
    fun `returns the engine's client error to the caller`() {
        first.fault = { _, _ -> EngineFault.Status(422) }
        assertEquals(422, ask(isStream = true).statusCode())
        assertEquals(0, second.received)
    }

    private fun ask(isStream: Boolean): HttpResponse<String> {
        val body = JsonObject().put("model", "small").put("prompt", PROMPT).put("stream", isStream)
        return post("/v1/completions", body)
    }

    private fun post(path: String, body: JsonObject): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:${router.edge.actualPort}$path"))
                .header("Azuredale-Team", COUNTER.name)
                .timeout(Duration.ofSeconds(10))
                .POST(HttpRequest.BodyPublishers.ofString(body.encode()))
                .build()
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun text(answer: HttpResponse<String>): String = answer
        .body()
        .lineSequence()
        .filter { it.startsWith("data: {") }
        .map { JsonObject(it.removePrefix("data: ")) }
        .joinToString("") { it.firstText() }

    private fun JsonObject.firstText(): String {
        val choice = getJsonArray("choices").getJsonObject(0)
        return choice.getString("text") ?: choice.getJsonObject("delta").getString("content")
    }

    companion object {
        const val TOKENS = 24
        const val PROMPT = "summarise the ledger"

        @JvmStatic
        fun recoverable(): List<EngineFault> = listOf(
            EngineFault.DisconnectAfter(0),
            EngineFault.DisconnectAfter(5),
            EngineFault.TruncateAfter(0),
            EngineFault.TruncateAfter(7),
            EngineFault.StallAfter(0),
            EngineFault.StallAfter(9),
            EngineFault.RespondAsEarlierAttempt,
            EngineFault.RespondToOtherRequest("r9-1-1", "another prompt"),
            EngineFault.ForeignChunkAfter(0, "r9-1-1"),
            EngineFault.ForeignChunkAfter(4, "r9-1-1"),
            EngineFault.RepeatTokenAfter(6),
            EngineFault.DelayResponse(1_000),
            EngineFault.Status(503),
        )

        /** Faults that let too few tokens through for a complete response, even over four attempts. */
        @JvmStatic
        fun lasting(): List<EngineFault> = listOf(
            EngineFault.DisconnectAfter(0),
            EngineFault.DisconnectAfter(1),
            EngineFault.TruncateAfter(0),
            EngineFault.TruncateAfter(TOKENS / 8),
            EngineFault.StallAfter(3),
            EngineFault.RespondAsEarlierAttempt,
            EngineFault.RespondToOtherRequest("r9-1-1", "another prompt"),
            EngineFault.ForeignChunkAfter(1, "r9-1-1"),
            EngineFault.RepeatTokenAfter(2),
            EngineFault.Status(503),
        )
    }
}
