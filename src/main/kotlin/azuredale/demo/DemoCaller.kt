package azuredale.demo

import azuredale.identity.NetworkAddress
import azuredale.identity.TeamId
import azuredale.standin.ResponseText
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Simulated callers, which ask a router for an address, send their request there and record the answer. */
internal class DemoCaller(
    vertx: Vertx,
    private val routers: List<NetworkAddress>,
    private val recorder: DemoRecorder,
    private val random: Random,
) {
    private val client = vertx.createHttpClient(HttpClientOptions(), PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS))
    private val lastId = AtomicLong()

    /** Sends one streamed completion and records how it ended. */
    suspend fun complete(team: TeamId) {
        val prompt = "${team.name} question ${lastId.incrementAndGet()}"
        val count = random.nextInt(MIN_TOKENS, TOKEN_BOUND)
        val body = JsonObject().put("model", DemoFleet.MODEL).put("prompt", prompt).put("max_tokens", count)
        val answer = StreamedAnswer(team, recorder)
        recorder.waitStarted(team)
        val outcome =
            try {
                val address = address(team, tickets = 0).first
                val request = options(address, "/v1/completions").putHeader("Azuredale-Team", team.name)
                val response = send(request, body.put("stream", true).toBuffer(), answer::received)
                outcomeOf(response, answer.hasEnded)
            } catch (failure: java.io.IOException) {
                "no answer (${failure.javaClass.simpleName})"
            }
        answer.stopWaiting()
        val isComplete = answer.text == ResponseText.complete(prompt, count)
        recorder.completionEnded(team, outcome, count, isComplete)
        if (outcome != DemoRecorder.COMPLETED) delay(PAUSE_MILLISECONDS)
    }

    /** Sends one non-idempotent call with a ticket, and repeats it once with the same ticket. */
    suspend fun releaseLocker(team: TeamId) {
        val id = "release-${lastId.incrementAndGet()}"
        val (address, ticket) = address(team, tickets = 1)
        val request =
            options(address, "/service/${DemoFleet.LOCKERS}/release")
                .putHeader("Azuredale-Team", team.name)
                .putHeader("Azuredale-Ticket", ticket.orEmpty())
        repeat(2) {
            val call =
                try {
                    val response = send(request, Buffer.buffer(id)) { }
                    val isNotRun = response.getHeader("Azuredale-Execution") == "not-run"
                    ServiceCall(outcomeOf(response, hasEnded = response.statusCode() < FIRST_ERROR_STATUS), isNotRun)
                } catch (failure: java.io.IOException) {
                    ServiceCall("no answer (${failure.javaClass.simpleName})", isNotRun = false)
                }
            recorder.serviceCallEnded(id, call)
        }
    }

    /** Closes the connections. */
    fun close() {
        client.close()
    }

    private suspend fun address(team: TeamId, tickets: Int): Pair<NetworkAddress, String?> {
        val router = routers.random(random)
        val request = options(router, "/v1/address?team=$team&count=1&tickets=$tickets").setMethod(HttpMethod.GET)
        var answer = Buffer.buffer()
        send(request, Buffer.buffer()) { answer = answer.appendBuffer(it) }
        val chosen = answer.toJsonObject().getJsonArray("addresses").getJsonObject(0)
        val ticket = chosen.getJsonArray("tickets").firstOrNull() as String?
        return checkNotNull(NetworkAddress.parse(chosen.getString("address"))) to ticket
    }

    private fun options(address: NetworkAddress, path: String): RequestOptions = RequestOptions()
        .setHost(address.host)
        .setPort(address.port)
        .setURI(path)
        .setMethod(HttpMethod.POST)

    private suspend fun send(options: RequestOptions, body: Buffer, chunk: (Buffer) -> Unit): HttpClientResponse {
        // The inner compose runs on the connection's event loop, so the handlers are set before the response can end.
        return client
            .request(options)
            .compose { request ->
                request.send(body).compose { response ->
                    response.handler(chunk)
                    response.end().map(response)
                }
            }.coAwait()
    }

    private fun outcomeOf(response: HttpClientResponse, hasEnded: Boolean): String = when {
        response.statusCode() < FIRST_ERROR_STATUS && hasEnded -> DemoRecorder.COMPLETED
        else -> response.getHeader("Azuredale-Outcome") ?: "status ${response.statusCode()}"
    }

    private companion object {
        const val MAX_CONNECTIONS = 256
        const val MIN_TOKENS = 8
        const val TOKEN_BOUND = 60
        const val FIRST_ERROR_STATUS = 400
        const val PAUSE_MILLISECONDS = 100L
    }
}

/** Collects a streamed completion. */
internal class StreamedAnswer(
    private val team: TeamId,
    private val recorder: DemoRecorder,
) {
    private val lines = StringBuilder()
    private val collected = StringBuilder()
    private var isWaiting = true

    /** Whether the end marker arrived. */
    var hasEnded: Boolean = false
        private set

    /** The text so far. */
    val text: String get() = collected.toString()

    /** Processes the next chunk of the stream. */
    fun received(chunk: Buffer) {
        lines.append(chunk.toString(Charsets.UTF_8))
        var tokens = 0
        while (true) {
            val end = lines.indexOf("\n")
            if (end < 0) break
            if (takeLine(lines.substring(0, end).trim())) tokens++
            lines.delete(0, end + 1)
        }
        if (tokens > 0) {
            stopWaiting()
            recorder.received(team, tokens)
        }
    }

    /** Records that the request no longer waits for its first token; later calls have no effect. */
    fun stopWaiting() {
        if (isWaiting) recorder.waitEnded(team)
        isWaiting = false
    }

    /** Returns whether [line] carried a token. */
    private fun takeLine(line: String): Boolean {
        val data = line.takeIf { it.startsWith(DATA_PREFIX) }?.removePrefix(DATA_PREFIX)
        if (data == null || data == END_MARKER) {
            hasEnded = hasEnded || data == END_MARKER
            return false
        }
        val part =
            JsonObject(data)
                .getJsonArray("choices")
                ?.getJsonObject(0)
                ?.getString("text")
                .orEmpty()
        collected.append(part)
        return part.isNotEmpty()
    }

    private companion object {
        const val DATA_PREFIX = "data: "
        const val END_MARKER = "[DONE]"
    }
}
