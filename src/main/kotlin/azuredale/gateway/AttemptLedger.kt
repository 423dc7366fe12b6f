package azuredale.gateway

import azuredale.engine.ServerLoad
import azuredale.engine.ServerSelection
import azuredale.engine.ServerStatistics
import azuredale.time.Timestamp

/** Records the load, latency and result of one attempt at a backend server. */
internal class AttemptLedger(
    private val statistics: ServerStatistics,
    private val selection: ServerSelection.Selected,
    private val startedAt: Timestamp,
    private val onExcluded: (ServerSelection.Selected) -> Unit,
) {
    private val server = selection.server
    private var load = ServerLoad(waitingTokens = selection.uncachedTokens, running = 1)
    private var hasEvent = false
    private val tokensAhead = statistics.remainingTokens(selection.load)
    private var sentAt = startedAt
    private var firstEventAt = startedAt

    init {
        statistics.loads.add(server.id, load)
        statistics.circuitBreaker(server.id).recordSent(startedAt)
    }

    /** Records that the request was written. Latency counts from here, so that it excludes connection setup. */
    fun sent(now: Timestamp) {
        sentAt = now
    }

    /** Records an event of the stream. */
    fun event(now: Timestamp) {
        if (hasEvent) return
        hasEvent = true
        change(ServerLoad(waitingTokens = 0, running = 1))
        statistics.circuitBreaker(server.id).recordSuccess()
        val took = now.microsecondsSince(sentAt).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        firstEventAt = now
        statistics.recordFirstEvent(server, tokensAhead + selection.uncachedTokens, took, now)
    }

    /** Records a valid, complete response. */
    fun succeeded(now: Timestamp) {
        statistics.circuitBreaker(server.id).recordSuccess()
        if (!hasEvent) return
        val held = now.microsecondsSince(firstEventAt).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        statistics.latency(server.pool).recordHold(held)
    }

    /** Records that the server refused the request; only a misdirected request counts as a failure of the server. */
    fun refused(now: Timestamp, status: Int) {
        if (status == MISDIRECTED) failed(now)
    }

    /** Records that the request timed out; a failure of the server only if no event arrived. */
    fun timedOut(now: Timestamp) {
        if (!hasEvent) failed(now)
    }

    /** Records that the server was unreachable, closed the connection early or sent an invalid response. */
    fun failed(now: Timestamp) {
        if (statistics.circuitBreaker(server.id).recordFailure(now)) onExcluded(selection)
    }

    /** Removes the attempt's load from the server. */
    fun ended() = change(ServerLoad.NONE)

    private fun change(after: ServerLoad) {
        statistics.loads.add(
            server.id,
            ServerLoad(after.waitingTokens - load.waitingTokens, after.running - load.running),
        )
        load = after
    }

    private companion object {
        /** Status of a response from a process that is not the addressed server. */
        const val MISDIRECTED = 421
    }
}
