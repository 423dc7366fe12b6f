package azuredale.engine

import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * Requests that wait in one order, because room for one of them is room for the next one as well.
 *
 * @property homes the regions whose servers may get them, null if all may.
 * @property isLarge whether they are so large that one server of the pool is kept for them; others pass them elsewhere.
 */
internal data class RoomLane(
    val pool: PoolId,
    val homes: Set<Region>?,
    val isLarge: Boolean,
)

/**
 * What a request needs of a server.
 *
 * @property tokens what it takes besides the parts that other requests may share.
 */
internal data class RoomNeed(
    val lane: RoomLane,
    val tokens: Long,
)

/** Whether a request waits for room. */
internal enum class RoomVerdict {
    WAITS,

    /** Room is predicted too late, or nothing is known of when there is some. */
    TOO_LATE,

    /** Too many requests wait already, of the same team or altogether. */
    QUEUE_FULL,
}

/** Why a waiting request is asked to look again. */
internal enum class RoomNotice {
    /** It is the first of its lane, and there may be room. */
    TURN,

    /** The servers, the configuration or the evacuations have changed, so that it may have to give up. */
    CHANGED,

    /** It can no longer begin in time. */
    LATE,

    /** The router stops. */
    STOPPED,
}

/**
 * A request that waits for room.
 *
 * @property latestStart when the request has to begin.
 * @property notify tells the request to look again; it may not change the queue before it returns.
 */
internal class RoomWaiter(
    val need: RoomNeed,
    val team: TeamId?,
    val since: Timestamp,
    val latestStart: Timestamp,
    val notify: (RoomNotice) -> Unit,
)

/**
 * The requests of one router that wait for room in the memory of the model servers, and what each team holds of it.
 *
 * The next request of a lane is the oldest one of the team whose requests hold the least memory of the pool at this
 * router (max-min), the one that came first if several hold as much. So a team that floods waits for itself, and none
 * is passed over for longer than its own requests run.
 */
internal class RoomQueue {
    private val lanes = LinkedHashMap<RoomLane, LinkedHashMap<TeamId?, ArrayDeque<RoomWaiter>>>()
    private val held = HashMap<PoolId, HashMap<TeamId?, Long>>()
    private var lastTurnAt = Timestamp.DISTANT_PAST

    /** Number of requests that wait. */
    var size = 0
        private set

    /** How often each of the requests that have their turn asks for room, so that all together ask no more often. */
    var asksPerSecond = 0.0
        private set

    /** Whether requests wait in [lane], behind which another one would have to wait. */
    fun isWaitedFor(lane: RoomLane): Boolean = lane in lanes

    /**
     * Tokens of the waiting requests that come before another one of [team] with [need]: those of the team, and of each
     * other team as many as the team then has waiting, because teams take turns.
     */
    fun tokensAhead(need: RoomNeed, team: TeamId?): Long {
        if (size == 0) return 0
        val waiting = HashMap<TeamId?, Long>()
        lanes.forEach { (lane, teams) ->
            if (lane.pool == need.lane.pool) {
                teams.forEach { (id, waiters) -> waiting.merge(id, waiters.sumOf { it.need.tokens }, Long::plus) }
            }
        }
        val own = waiting.remove(team) ?: 0
        return own + waiting.values.sumOf { minOf(it, own + need.tokens) }
    }

    /** Whether a request of [team] would wait that finds room at [roomAt], null if unknown; has no effect. */
    fun judge(team: TeamId?, roomAt: Timestamp?, latestStart: Timestamp): RoomVerdict = when {
        roomAt == null || roomAt > latestStart -> RoomVerdict.TOO_LATE
        // Leaves room for other teams, however many requests one team has waiting.
        waitingOf(team) >= MAXIMUM_WAITING - size -> RoomVerdict.QUEUE_FULL
        else -> RoomVerdict.WAITS
    }

    /** Adds [waiter] behind the requests of its team; call [judge] before. */
    fun add(waiter: RoomWaiter) {
        lanes.getOrPut(waiter.need.lane) { LinkedHashMap() }.getOrPut(waiter.team) { ArrayDeque() }.addLast(waiter)
        size++
    }

    /** Removes [waiter], which found room or gave up; has no effect if it does not wait. */
    fun remove(waiter: RoomWaiter) {
        val teams = lanes[waiter.need.lane] ?: return
        val waiters = teams[waiter.team] ?: return
        if (!waiters.remove(waiter)) return
        size--
        if (waiters.isEmpty()) teams.remove(waiter.team)
        if (teams.isEmpty()) lanes.remove(waiter.need.lane)
    }

    /** Records that a request of [team] takes [tokens] of the memory of [pool]; negative when it ends. */
    fun recordHeld(pool: PoolId, team: TeamId?, tokens: Long) {
        val teams = held.getOrPut(pool) { HashMap() }
        val updated = (teams[team] ?: 0) + tokens
        if (updated == 0L) teams.remove(team) else teams[team] = updated
        if (teams.isEmpty()) held.remove(pool)
    }

    /** The next request of each lane. */
    fun next(): List<RoomWaiter> = lanes.map { (lane, teams) ->
        val shares = held[lane.pool].orEmpty()
        teams.values.map { it.first() }.minWith(compareBy({ shares[it.team] ?: 0L }, { it.since }))
    }

    /** Tells the next request of each lane to ask for room. */
    fun giveTurns(now: Timestamp) {
        if (size == 0) return
        val next = next()
        val started = maxOf(lastTurnAt, next.minOf { it.since })
        val passed = now.microsecondsSince(started).coerceIn(SHORTEST_TURN_MICROSECONDS, LONGEST_TURN_MICROSECONDS)
        asksPerSecond = next.size * Timestamp.MICROSECONDS_PER_SECOND.toDouble() / passed
        lastTurnAt = now
        next.forEach { it.notify(RoomNotice.TURN) }
    }

    /** Tells the requests that can no longer begin in time. */
    fun expire(now: Timestamp) = all().filter { it.latestStart < now }.forEach { it.notify(RoomNotice.LATE) }

    /** Tells all requests that something changed on which their wait rests. */
    fun notifyAll(notice: RoomNotice) = all().forEach { it.notify(notice) }

    private fun all() = lanes.values.flatMap { teams -> teams.values.flatten() }

    private fun waitingOf(team: TeamId?) = lanes.values.sumOf { it[team]?.size ?: 0 }

    companion object {
        /** Bounds the memory of a router; more do not find room within the time that callers wait. */
        const val MAXIMUM_WAITING = 256

        /** Resolution of the clock. */
        private const val SHORTEST_TURN_MICROSECONDS = 1L

        /** Reports of other routers, on which a turn rests, are no older. */
        private const val LONGEST_TURN_MICROSECONDS = Timestamp.MICROSECONDS_PER_SECOND
    }
}
