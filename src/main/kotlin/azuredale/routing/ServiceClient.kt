package azuredale.routing

import azuredale.node.NodeEffect
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod

/** Sends requests to plain services. Every call costs 1. */
internal class ServiceClient(
    private val backends: BackendClient,
    private val settings: EdgeSettings,
) {
    suspend fun run(exchange: Exchange, answer: ServiceAnswer, start: NodeEffect.StartAttempt): AttemptResult =
        backends.run(exchange, start.address, ServiceReading(exchange, answer, start))

    private inner class ServiceReading(
        private val exchange: Exchange,
        private val answer: ServiceAnswer,
        private val start: NodeEffect.StartAttempt,
    ) : AttemptReading {
        private var delivered = 0L

        override suspend fun read(request: HttpClientRequest): AttemptResult {
            val response = send(request)
            val echoed = response.getHeader(Headers.REQUEST)
            val attempt = response.getHeader(Headers.ATTEMPT)
            return when {
                echoed != null && echoed != exchange.requestId -> wrong("the answer names request $echoed")
                attempt != null && attempt != start.attempt.toString() -> wrong("the answer names attempt $attempt")
                !hasLength(response) -> broken("the answer states no length, so its end cannot be recognised")
                else -> readBody(response)
            }
        }

        override fun broken(detail: String): AttemptResult = AttemptResult.Broken(CALL, delivered, detail)

        private fun wrong(detail: String): AttemptResult = AttemptResult.WrongAnswer(CALL, detail)

        private suspend fun send(request: HttpClientRequest): HttpClientResponse {
            exchange.call.headers.forEach { (name, value) -> request.headers().add(name, value) }
            request
                .putHeader(Headers.REQUEST, exchange.requestId)
                .putHeader(Headers.ATTEMPT, start.attempt.toString())
            return backends.send(request, exchange.call.body)
        }

        private suspend fun readBody(response: HttpClientResponse): AttemptResult {
            val reader = ResponseReader(response)
            val held = Buffer.buffer()
            while (held.length() <= settings.serviceBufferBytes) {
                val piece = reader.next() ?: return whole(response, held)
                held.appendBuffer(piece)
            }
            answer.begin(response.statusCode(), response.headers())
            var piece: Buffer? = held
            while (piece != null) {
                answer.stream.write(piece)
                delivered += piece.length()
                piece = reader.next()
            }
            return AttemptResult.Completed(CALL)
        }

        private fun whole(response: HttpClientResponse, body: Buffer): AttemptResult {
            answer.hold(response.statusCode(), response.headers(), body)
            val isStored = !exchange.isIdempotent && body.length() <= settings.maximumStoredBytes
            val stored = StoredResponse(response.statusCode(), response.getHeader("content-type"), body.bytes)
            return AttemptResult.Completed(CALL, stored.takeIf { isStored })
        }

        private fun hasLength(response: HttpClientResponse): Boolean = response.getHeader("content-length") != null ||
            response.getHeader("transfer-encoding").orEmpty().contains("chunked", ignoreCase = true) ||
            exchange.call.method == HttpMethod.HEAD ||
            response.statusCode() in WITHOUT_BODY
    }

    private companion object {
        const val CALL = 1.0
        val WITHOUT_BODY = setOf(204, 304)
    }
}
