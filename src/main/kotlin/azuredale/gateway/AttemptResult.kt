package azuredale.gateway

import azuredale.outcome.ErrorKind
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.Deferred

/** How one attempt ended. */
internal sealed interface AttemptResult {
    /** The response was forwarded, or the caller has disconnected. */
    data object Done : AttemptResult

    /** The server has not executed the request and never will. */
    class NotRun(
        val kind: ErrorKind,
        val detail: String,
        val wasSent: Boolean,
        /** Whether no other server may get the request either. */
        val isFinal: Boolean = false,
    ) : AttemptResult

    /** The server may have executed the request; [answer] is its own error response, if there is one. */
    class Failed(
        val kind: ErrorKind,
        val detail: String,
        val answer: BufferedResponse? = null,
        /** Completes with whether the server process has ended; null if that does not matter. */
        val hasServerEnded: Deferred<Boolean>? = null,
        /** Whether no other server may get the request. */
        val isFinal: Boolean = false,
    ) : AttemptResult
}

/** A complete response of a server, buffered until the router has decided to forward it. */
internal class BufferedResponse(
    val head: ResponseHead,
    val body: Buffer,
)
