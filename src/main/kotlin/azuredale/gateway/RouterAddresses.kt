package azuredale.gateway

import azuredale.identity.NetworkAddress
import azuredale.peers.PeerTable

/** Response to callers that ask which routers to use. */
internal class RouterAddresses(
    private val settings: GatewaySettings,
    private val peers: PeerTable,
    private val isReady: () -> Boolean,
    private val isOverloaded: () -> Boolean,
) {
    private class Candidate(
        val address: NetworkAddress,
        val isOverloaded: Boolean,
    )

    /**
     * Addresses of the ready routers, and the seconds for which callers may cache them.
     *
     * Some callers send all requests of a team to one router, and leave it only when an answer no longer names it. So
     * routers that are overloaded are left out, unless half of all routers are.
     */
    fun addresses(): Pair<List<NetworkAddress>, Double> {
        val own = if (isReady()) listOf(Candidate(settings.callerAddress, isOverloaded())) else emptyList()
        val others =
            peers.alive.filter { it.isReady }.mapNotNull { peer ->
                peer.callerAddress?.let { Candidate(it, peer.isOverloaded) }
            }
        val ready = own + others
        val calm = ready.filterNot { it.isOverloaded }
        val named = if (calm.size * 2 > ready.size) calm else ready
        val lifetime = minOf(MAXIMUM_LIFETIME_SECONDS, settings.bounds.addressLifetimeSeconds)
        return named.take(MAXIMUM_ADDRESSES).map { it.address } to lifetime
    }

    private companion object {
        /** Short, because callers may use the address of a stopped router for up to three times as long. */
        const val MAXIMUM_LIFETIME_SECONDS = 1.0

        /** Callers ignore further addresses. */
        const val MAXIMUM_ADDRESSES = 64
    }
}
