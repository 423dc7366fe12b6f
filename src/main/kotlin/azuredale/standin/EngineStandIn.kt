package azuredale.standin

import azuredale.logging.EventLog
import azuredale.routing.PromptPrefix
import azuredale.routing.value
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait

/**
 * Simulates a model engine for tests and measurements: completions with server-sent events, continuous batching, a
 * prefix cache, load reports and injected faults. All state is confined to one event loop.
 *
 * ```
 * val engine = EngineStandIn(vertx, EngineSettings(slots = 8))
 * engine.start()
 * engine.fault = { _, _ -> EngineFault.DisconnectAfter(3) } // for the next responses
 * ```
 */
public class EngineStandIn(
    private val vertx: Vertx,
    private val settings: EngineSettings = EngineSettings(),
) {
    private val log = EventLog("azuredale.standin")
    private val context = vertx.getOrCreateContext()
    private val waiting = ArrayDeque<WaitingSequence>()
    private val running = mutableListOf<RunningSequence>()
    private val cache = PrefixCache(settings)
    private var server: HttpServer? = null
    private var timer: Long? = null
    private var report = JsonObject()
    private var reportedAt = Long.MIN_VALUE / 2

    /** Selects the fault of a response by request id and prompt; null injects none. */
    @Volatile
    public var fault: (request: String, prompt: String) -> EngineFault? = { _, _ -> null }

    /** Number of completion requests received. */
    @Volatile
    public var received: Int = 0
        private set

    /** Number of waiting and running sequences. */
    @Volatile
    public var open: Int = 0
        private set

    /** Number of tokens generated. */
    @Volatile
    public var generated: Long = 0
        private set

    /** Port on which the stand-in listens. */
    public val port: Int get() = server?.actualPort() ?: 0

    /** Starts the HTTP server. */
    public suspend fun start() {
        val started =
            io.vertx.core.Future.future { promise ->
                context.runOnContext {
                    vertx
                        .createHttpServer()
                        .requestHandler(::route)
                        .listen(settings.address.port, settings.address.host)
                        .onComplete(promise)
                }
            }
        server = started.coAwait()
        log.write(StandInLogEvent.ENGINE_STARTED, "port" to port)
    }

    /** Closes the server and its connections. */
    public suspend fun stop() {
        timer?.let(vertx::cancelTimer)
        server?.close()?.coAwait()
    }

    private fun route(request: HttpServerRequest) {
        when (request.path()) {
            "/v1/completions" -> request.body().onSuccess { complete(request, JsonObject(it), isChat = false) }
            "/v1/chat/completions" -> request.body().onSuccess { complete(request, JsonObject(it), isChat = true) }
            "/load" -> request.response().end(load().encode())
            "/cache-events" -> {
                val after = request.params().value("after")?.toLongOrNull() ?: 0
                request.response().end(cache.published(after, now()).encode())
            }
            else -> request.response().setStatusCode(NOT_FOUND).end()
        }
    }

    private fun complete(request: HttpServerRequest, body: JsonObject, isChat: Boolean) {
        received++
        val prompt = if (isChat) chatPrompt(body.getJsonArray("messages")) else body.getString("prompt")
        val fault = fault(request.getHeader("Azuredale-Request").orEmpty(), prompt)
        if (fault != null) log.write(StandInLogEvent.FAULT_INJECTED, "fault" to fault)
        if (fault is EngineFault.Status) {
            return answerStatus(request, fault.status)
        }
        val sequence = EngineSequence(request, body, prompt, isChat, fault, settings.defaultTokens)
        request.response().closeHandler { sequence.cancel() }
        waiting.addLast(WaitingSequence(sequence, (fault as? EngineFault.DelayResponse)?.milliseconds ?: 0))
        step()
        if (timer == null) timer = vertx.setPeriodic(STEP_MILLISECONDS) { step() }
    }

    private fun answerStatus(request: HttpServerRequest, status: Int) {
        val response = request.response().setStatusCode(status)
        listOf("Azuredale-Request", "Azuredale-Attempt").forEach { name ->
            request.headers().value(name)?.let { response.putHeader(name, it) }
        }
        response.putHeader("content-type", "application/json").end("{\"error\":{\"message\":\"status $status\"}}")
    }

    /** Advances the batch: admits waiting sequences, generates the tokens that are due, removes ended sequences. */
    private fun step() {
        val now = now()
        while (running.size < settings.slots && waiting.isNotEmpty()) running += admit(waiting.removeFirst(), now)
        for (batched in running) {
            val elapsed = now - batched.startAt
            if (elapsed < 0) continue
            val due = (elapsed * settings.tokensPerSecond / MILLISECONDS_PER_SECOND).toInt() + 1
            val before = batched.sequence.generated
            batched.sequence.advance((due - batched.sequence.generated).coerceAtLeast(0))
            generated += batched.sequence.generated - before
        }
        running.removeAll { it.sequence.isFinished }
        waiting.removeAll { it.sequence.isFinished }
        open = running.size + waiting.size
    }

    private fun admit(pending: WaitingSequence, now: Long): RunningSequence {
        val isCached = cache.touch(PromptPrefix.fingerprint(pending.sequence.prompt), now)
        val first = if (isCached) settings.firstTokenMilliseconds / CACHED_SPEEDUP else settings.firstTokenMilliseconds
        return RunningSequence(pending.sequence, now + first + pending.delay)
    }

    private fun load(): JsonObject {
        val now = now()
        if (now - reportedAt >= settings.loadLagMilliseconds) {
            reportedAt = now
            val speed = settings.tokensPerSecond * settings.slots
            report =
                JsonObject()
                    .put("running", running.size)
                    .put("waiting", waiting.size)
                    .put("unitsPerSecond", speed)
                    .put("generated", generated)
        }
        return report.copy().put("ageMilliseconds", now - reportedAt)
    }

    private fun chatPrompt(messages: JsonArray): String = messages.joinToString("\n") { message ->
        val fields = message as JsonObject
        "${fields.getString("role")}: ${fields.getValue("content")}"
    }

    private fun now(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

    private class WaitingSequence(
        val sequence: EngineSequence,
        val delay: Long,
    )

    private class RunningSequence(
        val sequence: EngineSequence,
        val startAt: Long,
    )

    private companion object {
        const val STEP_MILLISECONDS = 2L
        const val CACHED_SPEEDUP = 4
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
