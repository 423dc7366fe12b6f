package azuredale.engine

import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/** Work at the backend servers, as this router gave it out and as other routers report theirs. */
internal class LoadBook {
    private class Reported(
        val loads: Map<Int, ServerLoad>,
        val validUntil: Timestamp,
    )

    private val own = HashMap<ServerId, ServerLoad>()
    private val peers = HashMap<RouterId, Reported>()

    /** This router's own work, for reports to other routers. */
    val ownLoads: Map<ServerId, ServerLoad> get() = own

    /** Work at [server] of all routers; [number] is the server's short number in reports. */
    fun load(server: ServerId, number: Int, now: Timestamp): ServerLoad {
        var total = own[server] ?: ServerLoad.NONE
        peers.values.forEach { peer ->
            if (peer.validUntil > now) peer.loads[number]?.let { total += it }
        }
        return total
    }

    /** Own work at [server]. */
    fun ownLoad(server: ServerId): ServerLoad = own[server] ?: ServerLoad.NONE

    /** Adds [change] to the own work at [server]; negative numbers take it back. */
    fun add(server: ServerId, change: ServerLoad) {
        val after = (own[server] ?: ServerLoad.NONE) + change
        if (after == ServerLoad.NONE) own.remove(server) else own[server] = after
    }

    /** Replaces what [router] reported; it counts until [validUntil]. */
    fun reported(router: RouterId, loads: Map<Int, ServerLoad>, validUntil: Timestamp) {
        peers[router] = Reported(loads, validUntil)
    }

    /** Forgets the reports of [router]. */
    fun forget(router: RouterId) {
        peers.remove(router)
    }
}
