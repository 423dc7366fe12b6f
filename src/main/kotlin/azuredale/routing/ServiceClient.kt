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
    suspend fun run(exchange: Exchange, output: ServiceResponse, start: NodeEffect.StartAttempt): AttemptResult =
        backends.run(exchange, start.address, ServiceAttempt(exchange, output, start))

    private inner class ServiceAttempt(
        private val exchange: Exchange,
        private val output: ServiceResponse,
        private val start: NodeEffect.StartAttempt,
    ) : AttemptHandler {
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

        override fun broken(detail: String): AttemptResult = AttemptResult.Broken(CALL_COST, delivered, detail)

        private fun wrong(detail: String): AttemptResult = AttemptResult.WrongAnswer(CALL_COST, detail)

        private suspend fun send(request: HttpClientRequest): HttpClientResponse {
            exchange.call.headers.forEach { (name, value) -> request.headers().add(name, value) }
            request
                .putHeader(Headers.REQUEST, exchange.requestId)
                .putHeader(Headers.ATTEMPT, start.attempt.toString())
            return backends.send(request, exchange.call.body)
        }

        private suspend fun readBody(response: HttpClientResponse): AttemptResult {
            val reader = ResponseReader(response)
            val buffered = Buffer.buffer()
            while (buffered.length() <= settings.serviceBufferBytes) {
                val chunk = reader.next() ?: return complete(response, buffered)
                buffered.appendBuffer(chunk)
            }
            output.begin(response.statusCode(), response.headers())
            var chunk: Buffer? = buffered
            while (chunk != null) {
                output.stream.write(chunk)
                delivered += chunk.length()
                chunk = reader.next()
            }
            return AttemptResult.Completed(CALL_COST)
        }

        private fun complete(response: HttpClientResponse, body: Buffer): AttemptResult {
            output.buffer(response.statusCode(), response.headers(), body)
            val isStored = !exchange.isIdempotent && body.length() <= settings.maximumStoredBytes
            val stored = StoredResponse(response.statusCode(), response.getHeader("content-type"), body.bytes)
            return AttemptResult.Completed(CALL_COST, stored.takeIf { isStored })
        }

        private fun hasLength(response: HttpClientResponse): Boolean = response.getHeader("content-length") != null ||
            response.getHeader("transfer-encoding").orEmpty().contains("chunked", ignoreCase = true) ||
            exchange.call.method == HttpMethod.HEAD ||
            response.statusCode() in BODYLESS_STATUSES
    }

    private companion object {
        const val CALL_COST = 1.0
        val BODYLESS_STATUSES = setOf(204, 304)
    }
}
