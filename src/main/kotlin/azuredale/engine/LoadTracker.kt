package azuredale.engine

import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/**
 * Outstanding work at the backend servers: sent by this router, and reported by other routers.
 *
 * The reported loads are kept as running totals, so a lookup does not depend on the number of routers.
 */
internal class LoadTracker {
    private class ReportedLoads(
        val loads: Map<Int, ServerLoad>,
        val validUntil: Timestamp,
        val asOf: Timestamp,
    )

    private val local = HashMap<ServerId, ServerLoad>()
    private val peers = HashMap<RouterId, ReportedLoads>()
    private val totals = HashMap<Int, ServerLoad>()
    private var nextExpiryAt = Timestamp.DISTANT_FUTURE

    /** Counts the changes of loads, so that unchanged loads need not be compared. */
    var changes: Long = 0
        private set

    /** Work sent by this router, for reports to other routers. */
    val localLoads: Map<ServerId, ServerLoad> get() = local

    /** Work at [server] from all routers; [idHash] identifies the server in reports. */
    fun load(server: ServerId, idHash: Int, now: Timestamp): ServerLoad {
        removeExpired(now)
        val own = local[server] ?: ServerLoad.NONE
        return totals[idHash]?.let { own + it } ?: own
    }

    /** Memory that requests in progress at [server] take, as in [load]. */
    fun committedTokens(server: ServerId, idHash: Int, now: Timestamp): Long {
        removeExpired(now)
        val own = local[server]?.committedTokens ?: 0
        return own.toLong() + (totals[idHash]?.committedTokens ?: 0)
    }

    /** Work at the server with [idHash] that other routers reported. */
    fun reportedLoad(idHash: Int, now: Timestamp): ServerLoad {
        removeExpired(now)
        return totals[idHash] ?: ServerLoad.NONE
    }

    /** Work at [server] sent by this router. */
    fun localLoad(server: ServerId): ServerLoad = local[server] ?: ServerLoad.NONE

    /** Adds [change], which may be negative, to this router's work at [server]. */
    fun add(server: ServerId, change: ServerLoad) {
        changes++
        val updated = (local[server] ?: ServerLoad.NONE) + change
        if (updated == ServerLoad.NONE) local.remove(server) else local[server] = updated
    }

    /** Replaces the loads reported by [router], which hold as of [asOf] and expire at [validUntil]. */
    fun updatePeer(router: RouterId, loads: Map<Int, ServerLoad>, validUntil: Timestamp, asOf: Timestamp) {
        removePeer(router)
        changes++
        peers[router] = ReportedLoads(loads, validUntil, asOf)
        nextExpiryAt = minOf(nextExpiryAt, validUntil)
        loads.forEach { (server, load) -> totals.merge(server, load, ServerLoad::plus) }
    }

    /** Removes the loads reported by [router]. */
    fun removePeer(router: RouterId) {
        val removed = peers.remove(router) ?: return
        changes++
        removed.loads.forEach { (server, load) ->
            val left = (totals[server] ?: ServerLoad.NONE) - load
            if (left == ServerLoad.NONE) totals.remove(server) else totals[server] = left
        }
    }

    /** Removes the loads reported by all routers except [kept]. */
    fun retainPeer(kept: RouterId?) {
        peers.keys.filter { it != kept }.forEach(::removePeer)
    }

    /** Sum of the unexpired loads that the routers accepted by [isIncluded] reported. */
    fun reportedLoads(now: Timestamp, isIncluded: (RouterId) -> Boolean): Map<Int, ServerLoad> {
        removeExpired(now)
        val sums = HashMap<Int, ServerLoad>()
        peers.forEach { (router, reported) ->
            if (isIncluded(router)) {
                reported.loads.forEach { (server, load) -> sums.merge(server, load, ServerLoad::plus) }
            }
        }
        return sums
    }

    /** Seconds since which the oldest of the reported loads may have changed; without any, since the distant past. */
    fun reportAgeSeconds(now: Timestamp): Double =
        now.secondsSince(oldestReport(now) ?: Timestamp.DISTANT_PAST).coerceAtLeast(0.0)

    /** As of when the oldest of the reported loads holds, null if no other router has reported any. */
    fun oldestReport(now: Timestamp): Timestamp? {
        removeExpired(now)
        return peers.values.minOfOrNull { it.asOf }
    }

    private fun removeExpired(now: Timestamp) {
        if (now < nextExpiryAt) return
        peers.filterValues { it.validUntil <= now }.keys.forEach(::removePeer)
        nextExpiryAt = peers.values.minOfOrNull { it.validUntil } ?: Timestamp.DISTANT_FUTURE
    }
}
