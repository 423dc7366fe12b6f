package azuredale.engine

import azuredale.catalog.BackendPool
import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.directory.ServerProcess
import azuredale.directory.process
import azuredale.gateway.FleetBounds
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * What a cold server of a pool tolerates.
 *
 * @property requestsPerSecond the most requests that one server may get from all routers together in any one second.
 * @property warmUpMilliseconds the longest time for which a server stays cold after it became cold.
 */
internal class ColdLimit(
    val requestsPerSecond: Int,
    val warmUpMilliseconds: Long,
) {
    companion object {
        /** The limit that [pool] declares, within [bounds]; null if either names none. */
        fun of(pool: BackendPool, bounds: FleetBounds): ColdLimit? {
            val declared = pool.coldRequestsPerSecond ?: return null
            val factor = bounds.coldFactor ?: return null
            return ColdLimit((declared * factor + bounds.coldAllowance).toInt(), pool.warmUpMilliseconds)
        }
    }
}

/** Routers that share the requests to cold servers: this one, and all that may send although nobody hears them. */
internal class ColdServerFleet(
    val own: RouterId,
    val others: () -> Iterable<RouterId>,
)

/**
 * Keeps the requests of all routers to a server that has just started within what it tolerates.
 *
 * The tolerated number is divided into permits, each of which allows one request per [SPACING_MILLISECONDS]. Every
 * router computes from the names of all known routers which permits are its own, so that no messages are needed and a
 * burst of many routers cannot add up. Silent routers keep their permits while they are known. A router that has just
 * started uses none until it knows the others and they know it.
 *
 * A server is cold while its registration says so, but not for longer than it takes to warm up: during an outage of the
 * store no registration tells that it is warm.
 *
 * @param limitOf the limit of a pool, null if its servers need none.
 * @param usableFrom from when on this router may use its permits.
 * @param onWarm called when a server is no longer cold.
 */
internal class ColdServers(
    private val fleet: ColdServerFleet,
    private val usableFrom: Timestamp,
    private val limitOf: (PoolId) -> ColdLimit?,
    private val onWarm: (ServerId) -> Unit,
) {
    private class Cold(val until: Timestamp) {
        val sent = ArrayDeque<Timestamp>()
        var permits = 0
        var permitsValidUntil = Timestamp.DISTANT_PAST
    }

    private val cold = HashMap<ServerProcess, Cold>()

    /** Number of servers that are cold at [now]. */
    fun count(now: Timestamp): Int = cold.values.count { now < it.until }

    /** Whether this router may send a request to [server] at [now]; true for a server that is not cold. */
    fun allowsRequest(server: BackendEntry, now: Timestamp): Boolean {
        val state = stateOf(server, now) ?: return true
        val limit = limitOf(server.pool) ?: return true
        if (now < usableFrom) return false
        if (now >= state.permitsValidUntil) {
            state.permits = ownPermits(server, (limit.requestsPerSecond * USED_FRACTION).toInt())
            state.permitsValidUntil = now.plusMilliseconds(PERMITS_VALID_MILLISECONDS)
        }
        dropOld(state, now)
        return state.sent.size < state.permits
    }

    /** Records that a request is sent to [server]. */
    fun recordSent(server: BackendEntry, now: Timestamp) {
        stateOf(server, now)?.sent?.addLast(now)
    }

    /** Adopts which servers are registered as cold; a server that stays cold keeps its state. */
    fun updateDirectory(directory: ServerDirectory, now: Timestamp) {
        cold.keys.removeIf { process ->
            val entry = directory.entries[process.id]
            val isWarm = entry == null || !entry.isCold || entry.process != process
            if (isWarm) onWarm(process.id)
            isWarm
        }
        directory.entries.values.forEach { entry ->
            val limit = if (entry.isCold && entry.process !in cold) limitOf(entry.pool) else null
            if (limit != null) cold[entry.process] = Cold(now.plusMilliseconds(limit.warmUpMilliseconds * WARM_UPS))
        }
    }

    private fun stateOf(server: BackendEntry, now: Timestamp): Cold? {
        if (!server.isCold) return null
        return cold[server.process]?.takeIf { now < it.until }
    }

    private fun dropOld(state: Cold, now: Timestamp) {
        val start = now.plusMilliseconds(-SPACING_MILLISECONDS)
        while (state.sent.isNotEmpty() && state.sent.first() <= start) state.sent.removeFirst()
    }

    /** This router's part of [permits]; the parts of all routers that know the same routers add up to it. */
    private fun ownPermits(server: BackendEntry, permits: Int): Int {
        val own = order(server, fleet.own)
        var routers = 1
        var rank = 0
        fleet.others().forEach { other ->
            routers++
            if (order(server, other) < own) rank++
        }
        return permits / routers + if (rank < permits % routers) 1 else 0
    }

    /** An order of the routers that differs from server to server, so that each server has other first routers. */
    private fun order(server: BackendEntry, router: RouterId): Long = StableHash.of(server.id.name, router.name)

    companion object {
        /** Longer than a second by what the way of two requests to the server may differ. */
        const val SPACING_MILLISECONDS = 1_200L

        /** Until a router that has started knows the others, and they know it. */
        const val START_MILLISECONDS = 6_000L

        /** The rest covers routers that disagree for a moment on who belongs to the fleet. */
        private const val USED_FRACTION = 0.8
        private const val PERMITS_VALID_MILLISECONDS = 500L

        /** Covers a server that becomes cold again before it is warm, which changes nothing in its registration. */
        private const val WARM_UPS = 2
    }
}
