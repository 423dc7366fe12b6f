package azuredale.gateway

import azuredale.engine.PartsInUse
import azuredale.engine.ServerLoad
import azuredale.engine.ServerSelection
import azuredale.engine.ServerStatistics
import azuredale.time.Timestamp

/**
 * Records the load, latency and result of one attempt at a backend server.
 *
 * @param parts the prompt's shared parts, in use at the server until [release].
 * @param keptTokens tokens of the prompt that the server was predicted to keep.
 * @param isPrompt whether the request has a prompt; a plain service answers without events.
 */
internal class AttemptRecorder(
    private val statistics: ServerStatistics,
    private val selection: ServerSelection.Selected,
    private val startedAt: Timestamp,
    private val memory: AttemptMemory? = null,
    private val onAnswered: (Timestamp) -> Unit,
    private val onExcluded: (ServerSelection.Selected) -> Unit,
    private val parts: PartsInUse? = null,
    private val keptTokens: Int = 0,
    private val isPrompt: Boolean = true,
) {
    private val server = selection.server
    private var load = ServerLoad(waitingTokens = selection.uncachedTokens, running = 1)
    private var hasEvent = false

    /** Whether the server went on after it had begun its answer, so that the prompt did not crash it. */
    var isAnswered = false
        private set
    private val tokensAhead = statistics.remainingTokens(selection.load)
    private var sentAt = startedAt
    private var firstEventAt = startedAt

    init {
        statistics.loads.add(server.id, load)
        statistics.circuitBreaker(server.id).recordSent(startedAt)
        statistics.limits.recordSent(server, startedAt)
        statistics.coldServers?.recordSent(server, startedAt)
    }

    /** Records the request rate that the server takes according to its response, null if it named no limit. */
    fun recordLimit(requestsPerSecond: Double?, now: Timestamp) {
        statistics.limits.recordAnswer(server, requestsPerSecond, now)
    }

    /** Records that the request was written. Latency counts from here, so that it excludes connection setup. */
    fun recordSent(now: Timestamp) {
        sentAt = now
    }

    /**
     * Records an event of the stream.
     *
     * @param count number of events that were read together.
     * @param unreadMicroseconds longest time that the event may have waited to be read by this router, which is no time
     *   of the server.
     * @param isRouterLate whether this router is late, so that the time of the event says little of the server.
     */
    fun recordEvent(now: Timestamp, unreadMicroseconds: Long = 0, count: Int = 1, isRouterLate: Boolean = false) {
        memory?.recordEvents(count)
        if (hasEvent) {
            if (now >= firstEventAt.plusMilliseconds(ANSWER_MILLISECONDS)) recordAnswer(now)
            return
        }
        hasEvent = true
        updateLoad(ServerLoad(waitingTokens = 0, running = 1))
        parts?.confirm()
        statistics.circuitBreaker(server.id).recordSuccess()
        val elapsed = (now.microsecondsSince(sentAt) - unreadMicroseconds).coerceAtLeast(0)
        firstEventAt = now
        if (isRouterLate) return statistics.recordUnmeasuredFirstEvent(server.pool, now)
        statistics.recordFirstEvent(
            server = server,
            tokens = tokensAhead + selection.uncachedTokens,
            milliseconds = elapsed.toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND,
            now = now,
            keptTokens = keptTokens,
            trade = selection.trade,
        )
    }

    /**
     * Records a valid, complete response.
     *
     * @param isDelimited whether the end of the response is certain. Otherwise the server may have ended right after it
     *   began to answer, so that the response does not show that the prompt is sound.
     * @param isRouterLate whether this router is late, so that the time of the response says little of the server.
     */
    fun recordSuccess(now: Timestamp, isDelimited: Boolean, isRouterLate: Boolean = false) {
        statistics.circuitBreaker(server.id).recordSuccess()
        memory?.recordComplete()
        if (isDelimited) recordAnswer(now)
        if (hasEvent) return statistics.latency(server.pool).recordHold(milliseconds(firstEventAt, now))
        // A request that had to wait for a slot says little of the time that the server takes for one.
        if (isPrompt || isRouterLate || selection.load.running >= server.slots) return
        statistics.serviceTimes(server.pool).record(server.id, milliseconds(sentAt, now), now)
    }

    /** Records that the server refused the request; only a misdirected request counts as a failure of the server. */
    fun recordRefusal(now: Timestamp, status: Int) {
        if (status == MISDIRECTED) recordFailure(now)
    }

    /** Records that the request timed out; a failure of the server only if no event arrived. */
    fun recordTimeout(now: Timestamp) {
        if (!hasEvent) recordFailure(now)
    }

    /** Records that the server was unreachable, closed the connection early or sent an invalid response. */
    fun recordFailure(now: Timestamp) {
        if (statistics.circuitBreaker(server.id).recordFailure(now)) onExcluded(selection)
    }

    /** Removes the attempt's load from the server, which drops a request when its connection closes. */
    fun release(now: Timestamp) {
        updateLoad(ServerLoad.NONE)
        memory?.release(now)
        parts?.end()
    }

    private fun milliseconds(since: Timestamp, now: Timestamp): Double =
        now.microsecondsSince(since).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND

    private fun recordAnswer(now: Timestamp) {
        if (isAnswered) return
        isAnswered = true
        onAnswered(now)
    }

    private fun updateLoad(updated: ServerLoad) {
        statistics.loads.add(
            server.id,
            ServerLoad(updated.waitingTokens - load.waitingTokens, updated.running - load.running),
        )
        load = updated
    }

    private companion object {
        /** Status of a response from a process that is not the addressed server. */
        const val MISDIRECTED = 421

        /** A server that a prompt crashes ends within this time of the first event. */
        const val ANSWER_MILLISECONDS = 50L
    }
}
