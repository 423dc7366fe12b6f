package azuredale.gateway

import azuredale.identity.NetworkAddress
import azuredale.peers.PeerTable

/** Which routers callers should use. */
internal class AddressAnswer(
    private val settings: GatewaySettings,
    private val peers: PeerTable,
    private val isReady: () -> Boolean,
) {
    /** Routers that take requests, and for how many seconds the answer holds. */
    fun addresses(): Pair<List<NetworkAddress>, Double> {
        val others = peers.alive.filter { it.isReady }.mapNotNull { it.callerAddress }
        val own = if (isReady()) listOf(settings.callerAddress) else emptyList()
        val lifetime = minOf(LIFETIME_SECONDS, settings.bounds.addressLifetimeSeconds)
        return (own + others).take(MAXIMUM_ADDRESSES) to lifetime
    }

    private companion object {
        /** Short, because callers keep using a router that has left for up to three times as long. */
        const val LIFETIME_SECONDS = 1.0

        /** The most that callers take. */
        const val MAXIMUM_ADDRESSES = 64
    }
}
