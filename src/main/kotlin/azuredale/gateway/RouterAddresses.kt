package azuredale.gateway

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.intake.SpareCapacity
import azuredale.peers.PeerTable
import azuredale.sharing.StableHash

/** Response to callers that ask which routers to use. */
internal class RouterAddresses(
    private val settings: GatewaySettings,
    private val peers: PeerTable,
    private val isReady: () -> Boolean,
    private val isOverloaded: () -> Boolean,
    private val spareQuarters: () -> Int = { SpareCapacity.ALL },
    private val homes: HomeRouters? = null,
) {
    private class Candidate(
        val router: RouterId,
        val failureDomain: FailureDomain?,
        val address: NetworkAddress,
        val weight: Double,
        val isOverloaded: Boolean,
        spareQuarters: Int,
    ) {
        val isCrowded = isOverloaded || spareQuarters == 0

        /** A crowded router that has to stay in the answers gets as little as an almost crowded one. */
        val spare = weight * (if (isCrowded) 1 else spareQuarters) / SpareCapacity.ALL
    }

    /**
     * Addresses of ready routers for [caller], and the seconds for which callers may cache them.
     *
     * A fleet with more routers than an answer may name, or with VMs of unequal size, gives each caller a selection of
     * them; any other fleet names all.
     */
    fun addresses(caller: AddressCaller): Pair<List<NetworkAddress>, Double> {
        val all = readyRouters()
        val ready = homes?.keep(all, caller) { it.failureDomain } ?: all
        val lifetime = minOf(MAXIMUM_LIFETIME_SECONDS, settings.bounds.addressLifetimeSeconds)
        return (if (isSelective(ready)) select(ready, caller) else all(ready)) to lifetime
    }

    /**
     * Whether the other routers have room for the callers of this one and of all that are crowded, in a fleet that
     * gives its callers selections.
     */
    fun hasRoomElsewhere(): Boolean {
        val ready = readyRouters()
        if (!isSelective(ready)) return false
        val (calm, crowded) = ready.partition { !it.isCrowded && it.router != settings.router }
        return calm.sumOf { it.spare } >= weight(crowded)
    }

    private fun readyRouters(): List<Candidate> {
        val ready = ArrayList<Candidate>()
        if (isReady()) {
            val quarters = spareQuarters()
            ready +=
                Candidate(
                    router = settings.router,
                    failureDomain = settings.failureDomain,
                    address = settings.callerAddress,
                    weight = settings.weight,
                    isOverloaded = isOverloaded(),
                    spareQuarters = quarters,
                )
        }
        peers.alive.forEach { peer ->
            val address = peer.callerAddress
            if (peer.isReady && address != null) {
                ready +=
                    Candidate(
                        router = peer.router,
                        failureDomain = peer.failureDomain,
                        address = address,
                        weight = peer.weight,
                        isOverloaded = peer.isOverloaded,
                        spareQuarters = peer.spareQuarters,
                    )
            }
        }
        return ready
    }

    /** All routers, except overloaded ones unless most of the capacity is overloaded. */
    private fun all(ready: List<Candidate>): List<NetworkAddress> {
        val calm = ready.filterNot { it.isOverloaded }
        val named = if (weight(calm) >= weight(ready) * MINIMUM_CAPACITY) calm else ready
        return named.map { it.address }
    }

    /**
     * A selection by capacity. VMs that are much smaller than others are left out if the others have enough capacity.
     */
    private fun select(ready: List<Candidate>, caller: AddressCaller): List<NetworkAddress> {
        val largest = ready.maxOf { it.weight }
        val calm = ready.filterNot { it.isCrowded }
        val largeAndCalm = calm.filter { it.weight >= largest * SMALL_WEIGHT_FRACTION }
        val isEnough = weight(largeAndCalm) * MAXIMUM_SIZE_RATIO >= weight(ready)
        val named = if (isEnough) largeAndCalm else calm + unrelieved(ready, calm)
        return AddressSelection.select(named.map { AddressCandidate(it.router, it.address, it.spare) }, caller)
    }

    /**
     * Crowded routers that stay in the answers, because the spare capacity of the [calm] ones would not bear the load
     * of all that are crowded. All routers that answer choose the same ones.
     */
    private fun unrelieved(ready: List<Candidate>, calm: List<Candidate>): List<Candidate> {
        var spare = calm.sumOf { it.spare }
        return ready
            .filter { it.isCrowded }
            .sortedBy { StableHash.of(it.router.name) }
            .filterNot { crowded ->
                spare -= crowded.weight
                spare >= 0
            }
    }

    private fun isSelective(ready: List<Candidate>): Boolean = ready.size > AddressSelection.MAXIMUM_ADDRESSES ||
        ready.maxOfOrNull { it.weight }?.let { largest ->
            ready.any { it.weight * MAXIMUM_SIZE_RATIO < largest }
        } == true

    private fun weight(routers: List<Candidate>) = routers.sumOf { it.weight }

    private companion object {
        /** Short, because callers may use the address of a stopped router for up to three times as long. */
        const val MAXIMUM_LIFETIME_SECONDS = 1.0

        /** A VM that is smaller, relative to the largest one, cannot serve a large team alone. */
        const val SMALL_WEIGHT_FRACTION = 0.4

        /** Part of the fleet's capacity that the named routers have at least. */
        const val MINIMUM_CAPACITY = 0.4

        /** A router gets at most this many times the load that the size of its VM deserves in the whole fleet. */
        const val MAXIMUM_SIZE_RATIO = 1.5
    }
}
