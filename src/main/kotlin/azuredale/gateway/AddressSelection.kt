package azuredale.gateway

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.sharing.StableHash
import kotlin.math.ceil

/**
 * Caller that asks for router addresses.
 *
 * @property host its IP address.
 * @property name the name that it looks up.
 * @property failureDomain its own failure domain; empty if it names none.
 */
internal data class AddressCaller(
    val host: String,
    val name: String,
    val failureDomain: FailureDomain,
) {
    /** Identifies the caller in hashes. */
    val key: String = "$host $name $failureDomain"

    companion object {
        /** A caller of whom nothing is known. */
        val UNKNOWN = AddressCaller("", "", FailureDomain(""))
    }
}

/**
 * A router that an answer may name.
 *
 * @property capacity what the router can take on, relative to others: the size of its VM times the spare part of it.
 */
internal class AddressCandidate(
    val router: RouterId,
    val address: NetworkAddress,
    val capacity: Double,
)

/**
 * Chooses the routers that one caller is told to use, so that the callers of a fleet together put load on the routers
 * in proportion to their capacity.
 *
 * Callers choose among the addresses of an answer with equal probability, so a router's part of the load follows from
 * the number of answers that name it. Each router gets a pseudo-random rank for each caller, divided by its capacity,
 * and the caller is told the routers of lowest rank. All routers of the fleet compute the same ranks without exchanging
 * them. A router that joins or leaves changes one address in the answers that it enters or leaves, and the callers of a
 * router that leaves are spread over all others.
 */
internal object AddressSelection {
    /** Returns the addresses for [caller] out of [candidates], in no particular order. */
    fun select(candidates: List<AddressCandidate>, caller: AddressCaller): List<NetworkAddress> {
        val count = answerSize(candidates)
        if (candidates.size <= count) return candidates.map { it.address }
        return candidates
            .map { it to StableHash.fraction(caller.key, it.router.name) / it.capacity }
            .sortedBy { (_, rank) -> rank }
            .take(count)
            .map { (candidate, _) -> candidate.address }
    }

    /**
     * Number of addresses in an answer.
     *
     * An answer that names every router of the largest capacity and a proportional number of the others would give
     * each router its part exactly; a longer one gives small routers more than that.
     */
    private fun answerSize(candidates: List<AddressCandidate>): Int {
        val largest = candidates.maxOfOrNull { it.capacity } ?: return 0
        val proportional = ceil(candidates.sumOf { it.capacity } / largest).toInt()
        return proportional.coerceIn(MINIMUM_ADDRESSES, MAXIMUM_ADDRESSES)
    }

    /** Callers still find a running router when half of the fleet is lost. */
    private const val MINIMUM_ADDRESSES = 8

    /** Callers ignore further addresses. */
    const val MAXIMUM_ADDRESSES = 64
}
