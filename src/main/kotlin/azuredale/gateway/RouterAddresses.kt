package azuredale.gateway

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.peers.PeerTable

/** Response to callers that ask which routers to use. */
internal class RouterAddresses(
    private val settings: GatewaySettings,
    private val peers: PeerTable,
    private val isReady: () -> Boolean,
    private val isOverloaded: () -> Boolean,
) {
    private class Candidate(
        val router: RouterId,
        val address: NetworkAddress,
        val weight: Double,
        val isOverloaded: Boolean,
    )

    /**
     * Addresses of ready routers for [caller], and the seconds for which callers may cache them.
     *
     * Callers choose among the addresses at random, whatever the size of a VM. So routers on VMs that are much
     * smaller than others are left out if the rest of the fleet has enough capacity, and routers that are overloaded
     * unless most of the capacity is. A fleet with more routers than an answer may name, or with VMs of unequal size,
     * gives each caller a selection of the others; any other fleet names all of them.
     */
    fun addresses(caller: AddressCaller): Pair<List<NetworkAddress>, Double> {
        val own =
            if (isReady()) {
                listOf(
                    Candidate(settings.router, settings.callerAddress, settings.weight, isOverloaded()),
                )
            } else {
                emptyList()
            }
        val others =
            peers.alive.filter { it.isReady }.mapNotNull { peer ->
                peer.callerAddress?.let { Candidate(peer.router, it, peer.weight, peer.isOverloaded) }
            }
        val ready = own + others
        val largest = ready.maxOfOrNull { it.weight } ?: 0.0
        val calm = ready.filterNot { it.isOverloaded }
        val largeAndCalm = calm.filter { it.weight >= largest * SMALL_WEIGHT_FRACTION }
        val minimumCapacity = ready.sumOf { it.weight } * MINIMUM_CAPACITY
        val named =
            listOf(largeAndCalm, calm).firstOrNull { routers -> routers.sumOf { it.weight } >= minimumCapacity }
                ?: ready
        val lifetime = minOf(MAXIMUM_LIFETIME_SECONDS, settings.bounds.addressLifetimeSeconds)
        val addresses = if (isSelective(ready)) select(named, caller) else named.map { it.address }
        return addresses to lifetime
    }

    private fun isSelective(routers: List<Candidate>): Boolean {
        if (routers.size > AddressSelection.MAXIMUM_ADDRESSES) return true
        return routers.isNotEmpty() && routers.maxOf { it.weight } > routers.minOf { it.weight } * MAXIMUM_SIZE_RATIO
    }

    private fun select(routers: List<Candidate>, caller: AddressCaller): List<NetworkAddress> =
        AddressSelection.select(routers.map { AddressCandidate(it.router, it.address, it.weight) }, caller)

    private companion object {
        /** Short, because callers may use the address of a stopped router for up to three times as long. */
        const val MAXIMUM_LIFETIME_SECONDS = 1.0

        /** A VM that is smaller, relative to the largest one, cannot serve a large team alone. */
        const val SMALL_WEIGHT_FRACTION = 0.4

        /** Part of the fleet's capacity that the named routers have at least. */
        const val MINIMUM_CAPACITY = 0.4

        /** Routers that all get the same load get at most this many times what the size of their VM deserves. */
        const val MAXIMUM_SIZE_RATIO = 1.5
    }
}
