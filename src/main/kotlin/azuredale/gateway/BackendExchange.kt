package azuredale.gateway

import azuredale.directory.BackendEntry
import io.vertx.core.buffer.Buffer

/**
 * The head of a backend server's response.
 *
 * @property requestId id of the request that the response belongs to, null if not given.
 * @property isStamped whether it carries the server's confirmation that it executed the request.
 * @property isDelimited whether the response has a length or chunks, so that its end is not the end of its connection.
 * @property requestsPerSecond the rate that the server takes from all routers together, null if it names no limit.
 * @property isLeaving whether the server states that it leaves.
 * @property retryAfterMilliseconds how long the server, which has no room, wants no requests; null if it does not say.
 * @property isNotExecuted whether the server states that it has not executed the request and never will.
 */
public data class ResponseHead(
    val status: Int,
    val requestId: String?,
    val isStamped: Boolean,
    val isNotExecuted: Boolean,
    val isDelimited: Boolean,
    val requestsPerSecond: Double?,
    val isLeaving: Boolean,
    val retryAfterMilliseconds: Long?,
    val headers: List<Header>,
) {
    /** Whether the status is a success. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Request to a backend server for one attempt. */
public class BackendRequest(
    public val head: RequestHead,
    public val body: Buffer,
    public val team: String?,
    public val remainingMilliseconds: Long,
    public val lastEventNumber: Long?,
)

/** Event of an attempt at a backend server. */
public sealed interface BackendEvent {
    /** No connection could be opened, so the server has received nothing. */
    public data class NotSent(val detail: String) : BackendEvent

    /** A connection was open, but the request was not written because of [decision]. */
    public data class Withdrawn(val decision: SendDecision) : BackendEvent

    /** The request was written to the server. */
    public data object Sent : BackendEvent

    public data class Head(val head: ResponseHead) : BackendEvent

    public data class Data(val bytes: Buffer) : BackendEvent

    /** The response is complete. */
    public data object Complete : BackendEvent

    /** The connection failed or the response is invalid; the request may have been executed. */
    public data class Failed(val detail: String) : BackendEvent
}

/** An attempt in progress at a backend server. */
public interface BackendAttempt {
    /** Cancels the attempt and closes its connection, which notifies the server. No further events follow. */
    public fun cancel()

    /** Pauses or resumes reading from the server. */
    public fun pause(isPaused: Boolean)
}

/** Starts attempts at backend servers. */
public fun interface BackendTransport {
    /**
     * Sends a request to [server] and calls [onEvent] for each event in order.
     *
     * @param requestId id that the server returns in its response.
     * @param requiresRecentConnection whether to use only new or recently used connections, which are still open.
     * @param decide decides, once a connection is open, whether the request is written.
     */
    public fun send(
        server: BackendEntry,
        requestId: String,
        requiresRecentConnection: Boolean,
        decide: () -> SendDecision,
        onEvent: (BackendEvent) -> Unit,
    ): BackendAttempt
}
