package azuredale.routing

import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.time.Clock
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.withTimeoutOrNull

/** Sends requests to model engines and passes their tokens on to the caller. */
internal class EngineClient(
    private val backends: BackendClient,
    private val events: NodeEventSink,
    private val settings: EdgeSettings,
    private val clock: Clock,
) {
    suspend fun run(exchange: Exchange, output: CompletionResponse, start: NodeEffect.StartAttempt): AttemptResult =
        backends.run(exchange, start.address, EngineAttempt(exchange, output, start))

    private inner class EngineAttempt(
        private val exchange: Exchange,
        private val output: CompletionResponse,
        private val start: NodeEffect.StartAttempt,
    ) : AttemptHandler {
        private var cost = 0L
        private var reportedAt = clock()

        override suspend fun read(request: HttpClientRequest): AttemptResult {
            val response =
                withTimeoutOrNull(settings.stallTimeoutMilliseconds) { send(request) }
                    ?: return broken("the server sent no answer in time")
            val isMatching =
                response.getHeader(Headers.REQUEST) == exchange.requestId &&
                    response.getHeader(Headers.ATTEMPT) == start.attempt.toString()
            return when {
                !isMatching -> wrong("the answer names request ${response.getHeader(Headers.REQUEST)}")
                response.statusCode() != CompletionResponse.HTTP_OK -> handleErrorStatus(response)
                !resumes(response) -> broken("the server cannot continue the answer")
                else -> readEvents(ResponseReader(response))
            }
        }

        override fun broken(detail: String): AttemptResult =
            AttemptResult.Broken(cost.toDouble(), output.delivered, detail)

        private suspend fun send(request: HttpClientRequest): HttpClientResponse {
            request
                .putHeader("content-type", CompletionResponse.JSON)
                .putHeader(Headers.REQUEST, exchange.requestId)
                .putHeader(Headers.ATTEMPT, start.attempt.toString())
            if (start.resumeAt > 0) request.putHeader(Headers.RESUME_AT, start.resumeAt.toString())
            return backends.send(request, exchange.call.body)
        }

        private fun resumes(response: HttpClientResponse): Boolean = start.resumeAt == output.delivered &&
            (start.resumeAt == 0L || response.getHeader(Headers.RESUME_AT) == start.resumeAt.toString())

        /** Passes a client error on to the caller. Any other status is a failure of the engine. */
        private suspend fun handleErrorStatus(response: HttpClientResponse): AttemptResult {
            val status = response.statusCode()
            if (status !in CLIENT_ERRORS || status in TRANSIENT_ERRORS) return broken("the server answered $status")
            val bytes = readBounded(ResponseReader(response)) ?: return broken("the refusal is too long")
            val engineError = StoredResponse(status, response.getHeader("content-type"), bytes.bytes)
            if (!output.setEngineError(engineError)) return broken("the server answered $status")
            return AttemptResult.Completed(0.0, output.storedResponse())
        }

        private suspend fun readBounded(reader: ResponseReader): Buffer? {
            val whole = Buffer.buffer()
            while (whole.length() <= settings.maximumStoredBytes) whole.appendBuffer(reader.next() ?: return whole)
            return null
        }

        private suspend fun readEvents(reader: ResponseReader): AttemptResult {
            val decoder = SseDecoder()
            while (true) {
                val next =
                    withTimeoutOrNull(settings.stallTimeoutMilliseconds) { ReceivedChunk(reader.next()) }
                        ?: return broken("the server stalled")
                val bytes = next.bytes ?: return broken("the stream ended without its end marker")
                val result = deliverAll(decoder.feed(bytes))
                output.flush()
                if (result != null) return result
                reportProgress()
            }
        }

        /** Delivers [events] to the caller. Returns a result if the attempt ended, else null. */
        private fun deliverAll(events: List<String>): AttemptResult? {
            for (event in events) {
                if (event == END) return AttemptResult.Completed(cost.toDouble(), output.storedResponse())
                deliver(CompletionChunk(JsonObject(event)))?.let { return it }
            }
            return null
        }

        private fun deliver(chunk: CompletionChunk): AttemptResult? = when {
            chunk.hasError -> broken("the server reported an error in the stream")
            chunk.id != null && chunk.id != exchange.requestId -> wrong("the stream holds a chunk of ${chunk.id}")
            chunk.offset != null && chunk.offset != output.delivered -> broken("the stream skips or repeats tokens")
            else -> {
                cost += chunk.tokens
                if (output.deliver(chunk)) null else broken("the answer is longer than the limit")
            }
        }

        /** Result for data of another request. After tokens of this attempt, the response counts as interrupted. */
        private fun wrong(detail: String): AttemptResult =
            if (cost > 0) broken(detail) else AttemptResult.WrongAnswer(0.0, detail)

        private fun reportProgress() {
            val now = clock()
            if (now < reportedAt.plusMilliseconds(settings.progressIntervalMilliseconds)) return
            reportedAt = now
            events.post(NodeEvent.AttemptProgressed(exchange.number, start.attempt, cost.toDouble()))
        }
    }

    private class ReceivedChunk(val bytes: Buffer?)

    private companion object {
        const val END = "[DONE]"
        val CLIENT_ERRORS = 400..499

        // 408 (Request Timeout), 409 (Conflict) and 429 (Too Many Requests) depend on the server's state, not on the
        // request, so another engine may accept the request.
        val TRANSIENT_ERRORS = setOf(408, 409, 429)
    }
}
