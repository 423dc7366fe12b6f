package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.engine.EngineMemory
import azuredale.engine.RoomNotice
import azuredale.engine.RoomQueue
import azuredale.identity.PoolId
import azuredale.identity.TeamId
import azuredale.logging.EventLog
import azuredale.time.Timestamp

/** How a wait for room ended. */
internal enum class RoomWaitEnd {
    /** A server had room. */
    FOUND,

    /** The request could no longer begin in time. */
    LATE,

    /** The caller left. */
    CALLER_GONE,

    /** Servers, configuration, evacuations or quarantine no longer allow the request, or the pool is too busy. */
    REFUSED,

    /** The router stops. */
    STOPPED,
}

/**
 * The requests of this router that wait for room: gives them their turns, and logs and counts how the waits end, with a
 * line at most once a second.
 *
 * @param state what a wait rests on besides the servers' memory; when it changes, all waiting requests look again.
 */
internal class RoomWaits(
    val queue: RoomQueue,
    private val memory: EngineMemory,
    private val metrics: GatewayMetrics,
    private val log: EventLog,
    private val state: () -> List<Any?>,
) {
    private var lastState = emptyList<Any?>()
    private var nextAt = Timestamp.DISTANT_PAST
    private val ends = HashMap<RoomWaitEnd, Int>()
    private var longestMilliseconds = 0L
    private var largestMissing = 0L
    private var lastPool: PoolId? = null

    /** Memory that a request of a team takes at a server, as far as the order of those that wait goes. */
    inner class Holding(
        private val server: BackendEntry,
        private val team: TeamId?,
        private val tokens: Long,
    ) {
        /** Records that the request ended. */
        fun release(now: Timestamp) {
            queue.recordHeld(server.pool, team, -tokens)
            queue.giveTurns(now)
        }
    }

    /** Records that a request of [team] is sent to [server]; null if no memory is declared. */
    fun hold(server: BackendEntry, team: TeamId?, prompt: PromptShape?, now: Timestamp): Holding? {
        if (prompt == null || memory.capacityTokens(server.id) == null) return null
        val tokens = prompt.promptTokens.toLong() + prompt.maximumOutputTokens
        queue.recordHeld(server.pool, team, tokens)
        queue.giveTurns(now)
        return Holding(server, team, tokens)
    }

    /** Gives turns, and ends waits that have become vain; called every few milliseconds. */
    fun tick(now: Timestamp) {
        if (queue.size > 0) {
            queue.expire(now)
            val current = state()
            if (current != lastState) queue.notifyAll(RoomNotice.CHANGED)
            lastState = current
            queue.giveTurns(now)
        }
        writeLine(now)
    }

    /** Ends all waits, because the router stops. */
    fun stop() = queue.notifyAll(RoomNotice.STOPPED)

    /** Records that a request begins to wait. */
    fun recordBegin(wait: NextStep.Wait) {
        lastPool = wait.need.lane.pool
        largestMissing = maxOf(largestMissing, wait.missingTokens)
    }

    /** Records that a request that waited since [since] waits no longer. */
    fun recordEnd(end: RoomWaitEnd, since: Timestamp, now: Timestamp) {
        metrics.recordRoomWait(end, since, now)
        ends.merge(end, 1, Int::plus)
        val waited = now.microsecondsSince(since) / Timestamp.MICROSECONDS_PER_MILLISECOND
        longestMilliseconds = maxOf(longestMilliseconds, waited)
    }

    /** Registers the gauge. */
    fun expose() = metrics.gauge("room.waiting") { queue.size.toDouble() }

    private fun writeLine(now: Timestamp) {
        if (ends.isEmpty() || now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        log.write(
            GatewayLogEvent.ROOM_AWAITED,
            "pool" to lastPool,
            "missing" to largestMissing,
            "waiting" to queue.size,
            "found" to (ends[RoomWaitEnd.FOUND] ?: 0),
            "late" to (ends[RoomWaitEnd.LATE] ?: 0),
            "gone" to (ends[RoomWaitEnd.CALLER_GONE] ?: 0),
            "refused" to (ends[RoomWaitEnd.REFUSED] ?: 0),
            "stopped" to (ends[RoomWaitEnd.STOPPED] ?: 0),
            "longest" to longestMilliseconds,
        )
        ends.clear()
        longestMilliseconds = 0
        largestMissing = 0
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 1_000L
    }
}
