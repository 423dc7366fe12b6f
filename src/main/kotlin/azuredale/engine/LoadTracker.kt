package azuredale.engine

import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/** Outstanding work at the backend servers: sent by this router, and reported by other routers. */
internal class LoadTracker {
    private class Reported(
        val loads: Map<Int, ServerLoad>,
        val validUntil: Timestamp,
    )

    private val own = HashMap<ServerId, ServerLoad>()
    private val peers = HashMap<RouterId, Reported>()

    /** Work sent by this router, for reports to other routers. */
    val ownLoads: Map<ServerId, ServerLoad> get() = own

    /** Work at [server] from all routers; [number] identifies the server in reports. */
    fun load(server: ServerId, number: Int, now: Timestamp): ServerLoad {
        var total = own[server] ?: ServerLoad.NONE
        peers.values.forEach { peer ->
            if (peer.validUntil > now) peer.loads[number]?.let { total += it }
        }
        return total
    }

    /** Work at [server] sent by this router. */
    fun ownLoad(server: ServerId): ServerLoad = own[server] ?: ServerLoad.NONE

    /** Adds [change], which may be negative, to this router's work at [server]. */
    fun add(server: ServerId, change: ServerLoad) {
        val after = (own[server] ?: ServerLoad.NONE) + change
        if (after == ServerLoad.NONE) own.remove(server) else own[server] = after
    }

    /** Replaces the loads reported by [router], which expire at [validUntil]. */
    fun reported(router: RouterId, loads: Map<Int, ServerLoad>, validUntil: Timestamp) {
        peers[router] = Reported(loads, validUntil)
    }

    /** Removes the loads reported by [router]. */
    fun forget(router: RouterId) {
        peers.remove(router)
    }
}
