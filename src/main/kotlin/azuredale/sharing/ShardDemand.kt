package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.RouterId
import azuredale.protocol.RequestOffer
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand

/** Waiting requests that routers have offered to one shard, bounded per team and router. */
internal class ShardDemand(
    private val shard: ShardId,
    private val settings: SharingSettings,
    private val tables: AllotterTables,
    private val order: FairOrder,
) {
    private val byRouter = HashMap<RouterId, HashMap<GrantKey, OfferRow>>()
    private var arrivals = 0L

    /** Number of offers dropped because a bound was reached. */
    var droppedOffers: Long = 0
        private set

    val size: Int get() = byRouter.values.sumOf { it.size }

    val isEmpty: Boolean get() = byRouter.isEmpty()

    /** Applies a [demand] report of [router] for [team]. */
    fun apply(router: RouterId, team: TeamRow, demand: TeamDemand): Unit = order.update(team) {
        demand.offers.forEach { add(router, team, it) }
        val unoffered = demand.waiting - settings.offersPerTeam
        if (unoffered > 0) team.unofferedCounts[router] = unoffered else team.unofferedCounts.remove(router)
    }

    fun remove(key: GrantKey): OfferRow? {
        val own = byRouter[key.router] ?: return null
        val row = own.remove(key) ?: return null
        if (own.isEmpty()) byRouter.remove(key.router)
        tables.demand.remove(key)
        order[row.team]?.let { team -> order.update(team) { team.remove(row) } }
        return row
    }

    /** Removes all demand reported by [router]. */
    fun removeRouter(router: RouterId) {
        byRouter[router]?.keys?.toList()?.forEach(::remove)
        order.teams.filter { router in it.unofferedCounts }.forEach { team ->
            order.update(team) { team.unofferedCounts.remove(router) }
        }
    }

    /** Removes all requests of [team]. */
    fun removeTeam(team: TeamRow) {
        team.offersByRequirement.values
            .flatMap { it.keys }
            .forEach(::remove)
        order.update(team) { team.unofferedCounts.clear() }
    }

    fun clear(): Unit = byRouter.keys.toList().forEach(::removeRouter)

    private fun add(router: RouterId, team: TeamRow, offer: RequestOffer) {
        val key = GrantKey(router, offer.request)
        val own = byRouter[router]
        if (own != null && key in own) return
        val requirement = Requirement(shard.pool, offer.modelVersion, offer.adapter)
        val row = OfferRow(key, team.team, requirement, offer, arrivals++)
        val isWithinBound = (team.offerCounts[router] ?: 0) < settings.offersPerTeam
        if (!isWithinBound || !tables.demand.put(key, row)) {
            droppedOffers++
            return
        }
        byRouter.getOrPut(router) { HashMap() }[key] = row
        team.add(row)
    }
}
