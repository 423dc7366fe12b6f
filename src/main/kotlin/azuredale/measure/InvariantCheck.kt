package azuredale.measure

import azuredale.configuration.PoolKind

/** Checks the invariants that are evaluated at the end of a run: bounded gap and no starvation (1 and 2). */
internal class InvariantCheck(private val result: ExperimentResult) {
    fun violations(): List<String> = result.fleet.invariants.violations
        .map { it.toString() } +
        result.profile.pools.flatMap { pool -> listOfNotNull(gap(pool), starvation(pool)) }

    /** Checks the bound of section 3.3 of the design page for both teams of a pair, unless a partition stops grants. */
    private fun gap(pool: PoolPlan): String? {
        val meter = result.system.meter(pool.id)
        val figure =
            meter.windows
                .first()
                .gap.figure ?: return null
        val largest = meter.largestCost.toDouble()
        val shares = result.profile.teams.associate { it.id to it.share }
        val atGrant = meter.maxInFlight.maxOfOrNull { (team, count) -> (1 + count) * largest / shares.getValue(team) }
        val unreported =
            meter.maxInFlight.maxOfOrNull { (team, count) ->
                count * report(pool) / shares.getValue(team)
            }
        val bound = 2 * ((atGrant ?: 0.0) + (unreported ?: 0.0))
        if (figure.gap <= bound || result.fault == Fault.PARTITION_REJOIN) return null
        return "invariant 1: gap ${figure.gap} of pool ${pool.id} between ${figure.first} and ${figure.second} " +
            "exceeds the bound $bound"
    }

    private fun report(pool: PoolPlan) = if (pool.kind == PoolKind.MODEL) UNITS_PER_REPORT else 1.0

    private fun starvation(pool: PoolPlan): String? {
        val (team, time) = result.system.meter(pool.id).longestStarvation ?: return null
        if (time <= STARVATION_LIMIT) return null
        return "invariant 2: $team waited ${Figures.seconds(time)} s in pool ${pool.id} without any service"
    }

    private companion object {
        /** Units that the fastest server delivers to one request in one second. */
        const val UNITS_PER_REPORT = 155.0

        /** No fault stops all grants for longer than a few seconds. */
        const val STARVATION_LIMIT = 10 * EventQueue.SECOND
    }
}
