package azuredale.engine

import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/** Outstanding work at the backend servers: sent by this router, and reported by other routers. */
internal class LoadTracker {
    private class ReportedLoads(
        val loads: Map<Int, ServerLoad>,
        val validUntil: Timestamp,
    )

    private val local = HashMap<ServerId, ServerLoad>()
    private val peers = HashMap<RouterId, ReportedLoads>()

    /** Work sent by this router, for reports to other routers. */
    val localLoads: Map<ServerId, ServerLoad> get() = local

    /** Work at [server] from all routers; [idHash] identifies the server in reports. */
    fun load(server: ServerId, idHash: Int, now: Timestamp): ServerLoad {
        var total = local[server] ?: ServerLoad.NONE
        peers.values.forEach { peer ->
            if (peer.validUntil > now) peer.loads[idHash]?.let { total += it }
        }
        return total
    }

    /** Work at [server] sent by this router. */
    fun localLoad(server: ServerId): ServerLoad = local[server] ?: ServerLoad.NONE

    /** Adds [change], which may be negative, to this router's work at [server]. */
    fun add(server: ServerId, change: ServerLoad) {
        val updated = (local[server] ?: ServerLoad.NONE) + change
        if (updated == ServerLoad.NONE) local.remove(server) else local[server] = updated
    }

    /** Replaces the loads reported by [router], which expire at [validUntil]. */
    fun updatePeer(router: RouterId, loads: Map<Int, ServerLoad>, validUntil: Timestamp) {
        peers[router] = ReportedLoads(loads, validUntil)
    }

    /** Removes the loads reported by [router]. */
    fun removePeer(router: RouterId) {
        peers.remove(router)
    }
}
