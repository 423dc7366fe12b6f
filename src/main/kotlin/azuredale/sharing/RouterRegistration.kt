package azuredale.sharing

import azuredale.identity.TeamId
import azuredale.protocol.Register
import azuredale.protocol.RunningGrant
import azuredale.protocol.ServedCounter
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** Applies registrations of routers to the allotter state of one shard and keeps the teams' counters consistent. */
internal class RouterRegistration(
    private val shard: ShardId,
    private val settings: SharingSettings,
    private val order: FairOrder,
    private val grants: ShardGrants,
    private val demand: ShardDemand,
    private val estimator: CostEstimator,
) {
    /** The row of [team], or null when the document does not allow the team to use this pool. */
    fun allowedTeam(team: TeamId, context: AllotterContext): TeamRow? {
        val entry = context.document.teams[team] ?: return null
        return if (shard.pool in entry.pools) order.row(team, entry.share) else null
    }

    /** Largest difference between teams' counters that registrations may carry over from an earlier allotter. */
    fun maximumCredit(context: AllotterContext): Double {
        val largest =
            order.teams
                .filter { it.isBacklogged }
                .maxOfOrNull { estimator.estimate(it.team, null, context.initialCost(shard.pool)) / it.share }
        return settings.creditEstimates * (largest ?: 0.0)
    }

    fun apply(router: RouterRow, message: Register, context: AllotterContext, isCollecting: Boolean) {
        if (router.incarnation != message.incarnation) release(router)
        router.startIncarnation(message.incarnation)
        demand.removeRouter(router.router)
        replaceGrants(router, message.running, context)
        val ceiling = if (isCollecting) Double.POSITIVE_INFINITY else order.highestCounter() + maximumCredit(context)
        message.counters.forEach { chargeService(router, it, ceiling, context) }
        message.waiting.forEach { report ->
            allowedTeam(report.team, context)?.let { demand.apply(router.router, it, report) }
        }
        router.isRegistered = true
        router.nextRequestAt = Timestamp.DISTANT_PAST
    }

    /** Removes the demand and grants of a router that is gone; the charges of its grants stay with the teams. */
    fun release(router: RouterRow) {
        router.isRegistered = false
        demand.removeRouter(router.router)
        grants.ofRouter(router.router).forEach { grant ->
            router.addChargedService(grant.team, grant.charged)
            grants.close(grant, grant.charged)
        }
    }

    private fun replaceGrants(router: RouterRow, running: List<RunningGrant>, context: AllotterContext) {
        val listed = running.associateBy { it.request }
        grants
            .ofRouter(router.router)
            .filter { listed[it.key.request]?.server != it.server }
            .forEach { grants.close(it, 0.0) }
        running.forEach { report ->
            val known = grants[GrantKey(router.router, report.request)]
            if (known == null) {
                adoptGrant(router, report, context)
            } else {
                grants.update(known, report.charged, context.now)
            }
        }
    }

    private fun adoptGrant(router: RouterRow, report: RunningGrant, context: AllotterContext) {
        val entry = context.document.teams[report.team] ?: return
        val team = order.row(report.team, entry.share)
        val estimate = estimator.estimate(report.team, null, context.initialCost(shard.pool))
        val charge = maxOf(estimate, report.charged)
        val key = GrantKey(router.router, report.request)
        grants.open(
            GrantRow(key, shard, report.team, report.server, null, estimate, charge, context.now, context.now),
            team,
        )
    }

    /** Charges service not yet included in the team's counter; the part that would exceed [ceiling] is waived. */
    private fun chargeService(router: RouterRow, counter: ServedCounter, ceiling: Double, context: AllotterContext) {
        val entry = context.document.teams[counter.team]
        val added = counter.served - (router.chargedService[counter.team] ?: 0.0)
        router.chargedService[counter.team] = counter.served
        if (entry == null || added == 0.0) return
        val team = order.row(counter.team, entry.share)
        order.charge(team, minOf(added, maxOf(0.0, (ceiling - team.counter) * team.share)))
    }
}
