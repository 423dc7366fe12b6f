package azuredale.routing

import azuredale.time.Clock
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/** Response of a plain service: buffered until complete if it is small, otherwise streamed to the caller. */
internal class ServiceAnswer(
    override val stream: CallerStream,
    private val clock: Clock,
) : CallerAnswer {
    private val response = stream.response
    private var whole: Whole? = null

    override var hasBegun = false
        private set

    /** Stores a complete response for [finish] to send. */
    fun hold(status: Int, headers: MultiMap, body: Buffer) {
        whole = Whole(status, headers, body)
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
            is RequestResult.Repeated -> repeat(result.answer)
            is RequestResult.Failed ->
                // Reset the stream so that the caller can detect that the response is incomplete.
                if (hasBegun) response.reset() else FailureAnswer.send(response, result.failure, clock())
        }
    }

    private fun complete() {
        val answer = whole
        if (hasBegun || answer == null) {
            response.end()
        } else {
            head(answer.status, answer.headers)
            response.end(answer.body)
        }
    }

    private fun repeat(answer: KeptAnswer) {
        val headers = MultiMap.caseInsensitiveMultiMap()
        answer.contentType?.let { headers.add("content-type", it) }
        head(answer.status, headers)
        response.end(Buffer.buffer(answer.body))
    }

    private fun head(status: Int, headers: MultiMap) {
        response.statusCode = status
        headers.forEach { (name, value) -> if (Headers.isReturned(name)) response.headers().add(name, value) }
        response.putHeader(Headers.OUTCOME, "COMPLETED").putHeader(Headers.EXECUTION, "run")
    }

    private class Whole(
        val status: Int,
        val headers: MultiMap,
        val body: Buffer,
    )
}
