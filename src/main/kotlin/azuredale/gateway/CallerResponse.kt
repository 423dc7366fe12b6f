package azuredale.gateway

import azuredale.outcome.Execution
import azuredale.outcome.Failure
import io.vertx.core.buffer.Buffer

/**
 * The response of one request to its caller: a server's response, a stream, or a failure of this router.
 *
 * A failure reports "not run" only if no server may have begun the request.
 */
internal class CallerResponse(
    private val caller: Caller,
    private val context: GatewayContext,
    private val progress: RequestProgress,
    private val log: RequestLog,
) {
    /** Complete responses, which are in memory until one of them has been written or the request ends. */
    private val complete = ArrayList<ResponseBufferBudget.Part>(1)
    private var isForwarding = false

    /** The latest attempt after which the request may have run. */
    private var mayHaveRun: AttemptResult.Failed? = null

    /** Records an attempt after which the request may have run, although another server gets it next. */
    fun recordPossibleRun(end: AttemptResult.Failed) {
        mayHaveRun = end
    }

    /** Holds a complete response until [release], or until it has been forwarded. */
    fun hold(part: ResponseBufferBudget.Part) {
        complete += part
    }

    /** Whether [part] is a complete response that is still held. */
    fun isHeld(part: ResponseBufferBudget.Part): Boolean = part in complete

    /** Releases the complete responses unless one of them is being written. */
    fun release() {
        if (!isForwarding) releaseAll()
    }

    /** Handles that the buffered response of an attempt gives way; returns whether the attempt still has to end. */
    fun evicted(): Boolean {
        if (isForwarding) caller.abort()
        return !isForwarding
    }

    /** Sends the complete response of a server. */
    fun forward(answer: BufferedResponse) {
        isForwarding = true
        caller.respond(answer.head.status, answer.head.headers, answer.body, onWritten = ::releaseAll)
        log.ended("answered ${answer.head.status}")
    }

    /** Begins the stream with the head of the first server's response, unless it has begun. */
    fun beginStream(head: ResponseHead) {
        if (progress.hasBegunStream) return
        progress.hasBegunStream = true
        caller.beginStream(head.status, head.headers)
    }

    /** Ends the request with [failure], or with the result of an earlier attempt that may have run it. */
    fun giveUp(failure: Failure) {
        val earlier = mayHaveRun
        when {
            earlier != null -> fail(earlier)
            progress.hasBegunStream -> {
                caller.abort()
                log.ended("stream aborted")
            }
            else -> refuse(failure)
        }
    }

    /** Ends the request after [end], which may have run it. */
    fun fail(end: AttemptResult.Failed) {
        val answer = end.answer
        when {
            progress.hasBegunStream -> {
                caller.abort()
                log.ended("stream aborted: ${end.detail}")
            }
            answer != null -> forward(answer)
            else -> refuse(Failure(end.kind, end.detail, execution = Execution.UNKNOWN))
        }
    }

    /** Sends [failure]. */
    fun refuse(failure: Failure) {
        log.refused(failure)
        caller.respond(
            failure.kind.status,
            context.failureHeaders.headers(failure, context.clock()),
            Buffer.buffer(failure.kind.text),
        )
    }

    private fun releaseAll() = complete.forEach { it.release() }
}
