package azuredale.sharing

import azuredale.configuration.Document
import azuredale.identity.PoolId

/** The requester's cost estimators, one per pool. */
internal class PoolEstimators {
    private val estimators = HashMap<PoolId, CostEstimator>()

    fun estimate(request: QueuedRequest, context: RequesterContext): Double =
        of(request).estimate(request.team, request.hint, initialCost(request, context))

    fun settled(request: QueuedRequest, cost: Double, context: RequesterContext): Unit =
        of(request).settled(request.team, request.hint, cost, initialCost(request, context))

    fun retain(document: Document) {
        estimators.keys.retainAll(document.pools.keys)
        estimators.values.forEach { it.retain(document.teams.keys) }
    }

    private fun of(request: QueuedRequest): CostEstimator =
        estimators.getOrPut(request.requirement.pool) { CostEstimator() }

    private fun initialCost(request: QueuedRequest, context: RequesterContext): Double =
        context.document.pools[request.requirement.pool]?.initialCost ?: 1.0
}
