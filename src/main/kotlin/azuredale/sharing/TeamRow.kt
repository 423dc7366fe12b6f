package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.protocol.RequestOffer

/** Key of a waiting request or a grant at the allotter. */
internal data class GrantKey(
    val router: RouterId,
    val request: RequestNumber,
)

/** An offered request waiting for a grant; [arrival] orders the requests of one team. */
internal class OfferRow(
    val key: GrantKey,
    val team: TeamId,
    val requirement: Requirement,
    val offer: RequestOffer,
    val arrival: Long,
)

/** Waiting requests and virtual-time counter of one team at the allotter of one shard. */
internal class TeamRow(
    val team: TeamId,
    var share: Double,
) {
    /** Total charge divided by share (virtual time); modified only by [FairOrder]. */
    var counter: Double = 0.0

    /** Number of active grants. */
    var running: Int = 0

    /** Offered requests by requirement, each queue in order of arrival. */
    val offersByRequirement = LinkedHashMap<Requirement, LinkedHashMap<GrantKey, OfferRow>>()

    /** Number of offered requests by router. */
    val offerCounts = HashMap<RouterId, Int>()

    /** Number of requests waiting at each router in addition to the offered ones. */
    val unofferedCounts = HashMap<RouterId, Int>()

    val isBacklogged: Boolean get() = offersByRequirement.isNotEmpty() || unofferedCounts.isNotEmpty()

    val waiting: Int get() = offerCounts.values.sum() + unofferedCounts.values.sum()

    fun add(row: OfferRow) {
        offersByRequirement.getOrPut(row.requirement) { LinkedHashMap() }[row.key] = row
        offerCounts.merge(row.key.router, 1, Int::plus)
    }

    fun remove(row: OfferRow) {
        val queue = offersByRequirement[row.requirement] ?: return
        if (queue.remove(row.key) == null) return
        if (queue.isEmpty()) offersByRequirement.remove(row.requirement)
        offerCounts.computeIfPresent(row.key.router) { _, count -> if (count > 1) count - 1 else null }
    }
}
