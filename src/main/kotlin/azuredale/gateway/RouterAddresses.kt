package azuredale.gateway

import azuredale.identity.NetworkAddress
import azuredale.peers.PeerTable

/** Response to callers that ask which routers to use. */
internal class RouterAddresses(
    private val settings: GatewaySettings,
    private val peers: PeerTable,
    private val isReady: () -> Boolean,
) {
    /** Addresses of the ready routers, and the seconds for which callers may cache them. */
    fun addresses(): Pair<List<NetworkAddress>, Double> {
        val others = peers.alive.filter { it.isReady }.mapNotNull { it.callerAddress }
        val own = if (isReady()) listOf(settings.callerAddress) else emptyList()
        val lifetime = minOf(MAXIMUM_LIFETIME_SECONDS, settings.bounds.addressLifetimeSeconds)
        return (own + others).take(MAXIMUM_ADDRESSES) to lifetime
    }

    private companion object {
        /** Short, because callers may use the address of a stopped router for up to three times as long. */
        const val MAXIMUM_LIFETIME_SECONDS = 1.0

        /** Callers ignore further addresses. */
        const val MAXIMUM_ADDRESSES = 64
    }
}
