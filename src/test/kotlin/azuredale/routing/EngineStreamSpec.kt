package azuredale.routing

import azuredale.standin.EngineFault
import azuredale.standin.EngineSettings
import azuredale.standin.EngineStandIn
import azuredale.standin.ResponseText
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Timeout
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Streaming over a raw socket to callers that are slow, disconnect or send duplicates. */
@Timeout(60)
class EngineStreamSpec {
    private val vertx = Vertx.vertx()
    private val first = EngineStandIn(vertx, EngineSettings(tokensPerSecond = 500_000.0, firstTokenMilliseconds = 1))
    private val second = EngineStandIn(vertx, EngineSettings(tokensPerSecond = 2_000.0, firstTokenMilliseconds = 1))
    private lateinit var router: RouterFixture

    @BeforeEach
    fun start(): Unit = runBlocking {
        first.start()
        second.start()
        router = RouterFixture(vertx, server("e1", MODELS, first.port), server("e2", MODELS, second.port))
        router.start()
    }

    @AfterEach
    fun stop(): Unit = runBlocking {
        router.stop()
    }

    @Test
    fun `stops reading from the engine while the caller does not read, and cancels when it disconnects`() {
        // Guards against buffering a complete response for a slow caller and work for a caller that has disconnected.
        val socket = open(LONG_ANSWER)
        var generated = -1L
        while (first.generated == 0L || first.generated != generated) {
            generated = first.generated
            Thread.sleep(200)
        }
        assertTrue(generated < LONG_ANSWER / 2, "$generated of $LONG_ANSWER tokens were generated for a stalled caller")
        socket.close()
        await { first.open == 0 && router.controller.isIdle() && router.edge.openRequests == 0 }
        assertEquals(1, router.settled.size)
        assertTrue(router.settled.single() < LONG_ANSWER / 2)
    }

    @Test
    fun `never repeats text when the next engine cannot continue the answer`() {
        first.fault = { _, _ -> EngineFault.DisconnectAfter(5) }
        second.fault = { _, _ -> EngineFault.IgnoreResume }
        val answer = open(TOKENS).use { it.getInputStream().readBytes().decodeToString() }
        assertFalse(answer.contains("[DONE]"))
        assertTrue(answer.contains("STREAM_BROKEN"), answer)
        val tokens = Regex("\"text\":\"(\\w+ )\"").findAll(answer).map { it.groupValues[1] }.toList()
        assertEquals(ResponseText.tokens(PROMPT, TOKENS).take(tokens.size), tokens)
    }

    @Test
    fun `runs a completion with an idempotency key once and returns its text to duplicates`() {
        val expected = ResponseText.tokens(PROMPT, TOKENS)
        val answers =
            listOf(true, true, false).map { isStream ->
                open(TOKENS, isStream, "Idempotency-Key: k1").use { it.getInputStream().readBytes().decodeToString() }
            }
        for (answer in answers) {
            val text = Regex("\"text\":\"([\\w ]*)\"").findAll(answer).joinToString("") { it.groupValues[1] }
            assertEquals(expected.joinToString(""), text)
        }
        assertEquals(1, first.received + second.received)
    }

    private fun open(tokens: Int, isStream: Boolean = true, header: String = "Accept: */*"): Socket {
        val body =
            JsonObject()
                .put("model", "small")
                .put("prompt", PROMPT)
                .put("stream", isStream)
                .put("max_tokens", tokens)
                .encode()
        val head =
            "POST /v1/completions HTTP/1.1\r\nHost: r\r\nAzuredale-Team: ${COUNTER.name}\r\n$header\r\n" +
                "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n"
        val socket = Socket()
        // A small receive buffer prevents the kernel from buffering the response while the caller does not read.
        socket.receiveBufferSize = 4_096
        socket.connect(InetSocketAddress("127.0.0.1", router.edge.actualPort))
        socket.getOutputStream().write((head + body).encodeToByteArray())
        return socket
    }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + 10_000_000_000L
        while (!condition()) {
            check(System.nanoTime() < end) { "open=${first.open} rows=${router.controller.requestCount}" }
            Thread.sleep(10)
        }
    }

    private companion object {
        const val LONG_ANSWER = 400_000
        const val TOKENS = 20
        const val PROMPT = "reply to the counter"
    }
}
