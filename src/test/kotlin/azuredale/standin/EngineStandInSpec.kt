package azuredale.standin

import azuredale.node.NodeEvent
import azuredale.routing.EnginePoller
import azuredale.routing.MODELS
import azuredale.routing.PromptPrefix
import azuredale.routing.server
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

@Timeout(60)
class EngineStandInSpec {
    private val vertx = Vertx.vertx()
    private val client = HttpClient.newHttpClient()
    private val fast = EngineSettings(tokensPerSecond = 2_000.0, firstTokenMilliseconds = 1)

    @AfterEach
    fun stop(): Unit = runBlocking {
        vertx.close().coAwait()
    }

    private fun engine(settings: EngineSettings) = EngineStandIn(vertx, settings).also { runBlocking { it.start() } }

    private fun EngineStandIn.send(path: String, body: JsonObject?, vararg headers: String): HttpResponse<String> {
        val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
        if (headers.isNotEmpty()) builder.headers(*headers)
        if (body != null) builder.POST(HttpRequest.BodyPublishers.ofString(body.encode()))
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun EngineStandIn.ask(prompt: String, vararg headers: String): String {
        val body = JsonObject().put("prompt", prompt).put("model", "small")
        val answer = JsonObject(send("/v1/completions", body.put("stream", false), *headers).body())
        return answer.getJsonArray("choices").getJsonObject(0).getString("text")
    }

    @Test
    fun `answers each prompt with its own text`() {
        // Guards against two prompts with the same text, which would hide swapped responses in all other tests.
        val texts = (1..1_000).map { ResponseText.complete("prompt $it", 4) }
        assertEquals(1_000, texts.toSet().size)
        assertEquals(ResponseText.complete("a", 16), engine(fast).ask("a"))
    }

    @Test
    fun `resumes at the requested token`() {
        val body = JsonObject().put("prompt", "a").put("model", "small").put("stream", true)
        val answer = engine(fast).send("/v1/completions", body, "Azuredale-Resume-At", "13").body()
        val offsets =
            answer.lineSequence().filter { it.contains("offset") }.map {
                JsonObject(it.removePrefix("data: ")).getInteger("offset")
            }
        assertEquals(listOf(13, 14, 15), offsets.toList())
    }

    @Test
    fun `runs no more sequences at once than it has slots`() {
        val engine = engine(fast.copy(slots = 2, tokensPerSecond = 200.0, defaultTokens = 60, loadLagMilliseconds = 0))
        val answers = List(4) { CompletableFuture.supplyAsync { engine.ask("a") } }
        val seen = HashSet<Pair<Int, Int>>()
        while (answers.any { !it.isDone }) {
            val load = JsonObject(engine.send("/load", null).body())
            seen += load.getInteger("running") to load.getInteger("waiting")
        }
        assertEquals(2, seen.maxOf { (running) -> running }, "$seen")
        assertTrue(2 to 2 in seen, "four requests never filled two slots and the queue: $seen")
        assertEquals(setOf(ResponseText.complete("a", 60)), answers.map { it.get() }.toSet())
    }

    @Test
    fun `publishes cache events late and with gaps, and the poller passes them on once`() = runBlocking {
        val settings =
            fast.copy(
                prefixCacheCapacity = 2,
                cacheLagMilliseconds = 150,
                cacheEventDropInterval = 4,
                loadLagMilliseconds = 0,
            )
        val engine = engine(settings)
        val posted = CopyOnWriteArrayList<NodeEvent>()
        val absent = server("e2", MODELS, 1)
        val polled = listOf(server("e1", MODELS, engine.port), absent)
        val poller = EnginePoller(vertx, { posted += it }, { polled }, systemClock(), periodMilliseconds = 400)
        engine.ask("a")
        engine.ask("b")
        engine.ask("c")
        poller.pollOnce()
        assertEquals(emptyList(), posted.filterIsInstance<NodeEvent.CacheEventsReceived>(), "published too early")
        delay(200)
        poller.pollOnce()
        poller.pollOnce()
        val events = posted.filterIsInstance<NodeEvent.CacheEventsReceived>().flatMap { it.events }
        // The fourth event, the eviction of the first prefix, is never published.
        assertEquals(listOf("a", "b", "c").map(PromptPrefix::fingerprint), events.map { it.prefix })
        val loads = posted.filterIsInstance<NodeEvent.LoadReported>().map { it.report }
        assertEquals(listOf("e1", "e1", "e1"), loads.map { it.server.name })
        assertNotEquals(0.0, loads.last().unitsPerSecond)
    }
}
