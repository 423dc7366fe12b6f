package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.RouterId
import azuredale.protocol.Grant
import azuredale.protocol.ShardId

/** Assigns the free slots of one shard to waiting requests in fair-queueing order. */
internal class GrantDispatcher(
    private val shard: ShardId,
    private val order: FairOrder,
    private val servers: ServerPool,
    private val grants: ShardGrants,
    private val demand: ShardDemand,
    private val estimator: CostEstimator,
    private val prefixes: PrefixIndex,
) {
    private val selection = ServerSelection(prefixes)

    /**
     * Grants waiting requests of routers for which [isReady] holds, until [maximumGrants] grants are active, no slot is
     * free, or no request may run on a server with a free slot.
     */
    fun dispatch(context: AllotterContext, maximumGrants: Int, isReady: (RouterId) -> Boolean) {
        val blocked = HashSet<Requirement>()
        while (servers.hasFree(context.now) && grants.size < maximumGrants) {
            if (!grantNext(blocked, context, isReady)) return
        }
    }

    /** Grants one request of the team with the lowest counter among those with a grantable request. */
    private fun grantNext(
        blocked: MutableSet<Requirement>,
        context: AllotterContext,
        isReady: (RouterId) -> Boolean,
    ): Boolean {
        for (team in order.backloggedTeams) {
            val candidates =
                team.offersByRequirement.filterKeys { it !in blocked }.values.mapNotNull { queue ->
                    queue.values.firstOrNull { isReady(it.key.router) }
                }
            for (row in candidates.sortedBy { it.arrival }) {
                val domain = context.members[row.key.router]?.failureDomain
                val server =
                    selection.choose(
                        servers.rows,
                        context.document,
                        row.requirement,
                        row.offer.prefix,
                        domain,
                        context.now,
                    )
                if (server != null) return grant(row, team, server, context)
                blocked += row.requirement
            }
        }
        return false
    }

    private fun grant(row: OfferRow, team: TeamRow, server: ServerRow, context: AllotterContext): Boolean {
        val estimate = estimator.estimate(row.team, row.offer.hint, context.initialCost(shard.pool))
        order.recordGrant(team, row.requirement)
        val grant =
            GrantRow(
                row.key,
                shard,
                row.team,
                server.id,
                row.offer.hint,
                estimate,
                charged = estimate,
                grantedAt = context.now,
                reportedAt = context.now,
            )
        if (!grants.open(grant, team)) return false
        demand.remove(row.key)
        row.offer.prefix?.let { prefixes.stored(it, server.id) }
        context.send(row.key.router, Grant(shard, row.key.request, server.id))
        return true
    }
}
