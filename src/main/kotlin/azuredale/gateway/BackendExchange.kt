package azuredale.gateway

import azuredale.directory.BackendEntry
import io.vertx.core.buffer.Buffer

/**
 * The head of a backend server's response.
 *
 * @property requestId id of the request that it answers, null when it does not say.
 * @property isStamped whether it bears the server's proof that it ran the request.
 * @property isNotExecuted whether the server says that it did not run the request and never will.
 */
public data class ResponseHead(
    val status: Int,
    val requestId: String?,
    val isStamped: Boolean,
    val isNotExecuted: Boolean,
    val headers: List<Header>,
) {
    /** Whether the status is a success. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** What to send to a backend server for one attempt. */
public class BackendRequest(
    public val head: RequestHead,
    public val body: Buffer,
    public val team: String?,
    public val remainingMilliseconds: Long,
    public val lastEvent: Long?,
)

/** What happens on the way of one attempt. */
public sealed interface BackendEvent {
    /** No connection could be opened; the server has received nothing. */
    public data class NotSent(val detail: String) : BackendEvent

    /** The request was written to the server. */
    public data object Sent : BackendEvent

    public data class Head(val head: ResponseHead) : BackendEvent

    public data class Data(val bytes: Buffer) : BackendEvent

    /** The response is whole. */
    public data object Complete : BackendEvent

    /** The connection broke, or the bytes are no response to the request; it may have run. */
    public data class Broken(val detail: String) : BackendEvent
}

/** An attempt in progress at a backend server. */
public interface BackendAttempt {
    /** Stops the attempt; its connection is closed, by which the server learns of it. No further event follows. */
    public fun cancel()

    /** Stops or resumes reading from the server. */
    public fun pause(isPaused: Boolean)
}

/** Starts attempts at backend servers. */
public fun interface Backends {
    /**
     * Sends [request] to [server]; [onEvent] is called for each event in order.
     *
     * @param isFreshOnly whether only a connection may be used on which the server cannot have given up meanwhile.
     */
    public fun send(
        server: BackendEntry,
        request: BackendRequest,
        isFreshOnly: Boolean,
        onEvent: (BackendEvent) -> Unit,
    ): BackendAttempt
}
