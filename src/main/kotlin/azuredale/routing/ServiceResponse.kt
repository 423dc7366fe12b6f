package azuredale.routing

import azuredale.time.Clock
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/** Response of a plain service: buffered until complete if it is small, otherwise streamed to the caller. */
internal class ServiceResponse(
    override val stream: CallerStream,
    private val clock: Clock,
) : CallerResponse {
    private val response = stream.response
    private var buffered: BufferedResponse? = null

    override var hasBegun = false
        private set

    /** Stores a complete response for [finish] to send. */
    fun buffer(status: Int, headers: MultiMap, body: Buffer) {
        buffered = BufferedResponse(status, headers, body)
    }

    /** Starts streaming a response that is too large to buffer. */
    fun begin(status: Int, headers: MultiMap) {
        if (hasBegun || response.closed()) return
        hasBegun = true
        head(status, headers)
        response.isChunked = true
    }

    override fun finish(result: RequestResult) {
        if (response.ended() || response.closed()) return
        when (result) {
            RequestResult.Completed -> complete()
            is RequestResult.Duplicate -> sendStored(result.response)
            is RequestResult.Failed ->
                // Reset the stream so that the caller can detect that the response is incomplete.
                if (hasBegun) response.reset() else ErrorResponse.send(response, result.failure, clock())
        }
    }

    private fun complete() {
        val stored = buffered
        if (hasBegun || stored == null) {
            response.end()
        } else {
            head(stored.status, stored.headers)
            response.end(stored.body)
        }
    }

    private fun sendStored(stored: StoredResponse) {
        val headers = MultiMap.caseInsensitiveMultiMap()
        stored.contentType?.let { headers.add("content-type", it) }
        head(stored.status, headers)
        response.end(Buffer.buffer(stored.body))
    }

    private fun head(status: Int, headers: MultiMap) {
        response.statusCode = status
        headers.forEach { (name, value) -> if (Headers.isReturned(name)) response.headers().add(name, value) }
        response.putHeader(Headers.OUTCOME, "COMPLETED").putHeader(Headers.EXECUTION, "run")
    }

    private class BufferedResponse(
        val status: Int,
        val headers: MultiMap,
        val body: Buffer,
    )
}
