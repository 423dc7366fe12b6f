package azuredale.sharing

import azuredale.identity.TeamId

/** Estimates what a request will cost from the team's ended requests in one pool. */
internal class CostEstimator {
    private class Average(
        var cost: Double,
        var ratio: Double,
        var hasRatio: Boolean,
    )

    private val averages = HashMap<TeamId, Average>()

    /**
     * Estimate for a request of [team]: its running average, or [hint] times the measured ratio of cost to hint.
     *
     * A hinted estimate stays within a factor of [HINT_RANGE] of the average, so that a wrong hint cannot buy many
     * grants before the first settlement corrects the ratio.
     */
    fun estimate(team: TeamId, hint: Double?, initial: Double): Double {
        val average = averages[team]
        val base = average?.cost ?: initial
        if (hint == null || !hint.isFinite() || hint <= 0) return base.coerceAtLeast(SMALLEST)
        val corrected = hint * (average?.ratio ?: 1.0)
        return corrected.coerceIn(base / HINT_RANGE, base * HINT_RANGE).coerceAtLeast(SMALLEST)
    }

    /** Records the final [cost] of a request that carried [hint]. */
    fun settled(team: TeamId, hint: Double?, cost: Double, initial: Double) {
        if (!cost.isFinite() || cost <= 0) return
        val average = averages.getOrPut(team) { Average(initial, 1.0, hasRatio = false) }
        average.cost += WEIGHT * (cost - average.cost)
        if (hint == null || !hint.isFinite() || hint <= 0) return
        val ratio = cost / hint
        average.ratio = if (average.hasRatio) average.ratio + WEIGHT * (ratio - average.ratio) else ratio
        average.hasRatio = true
    }

    fun retain(teams: Set<TeamId>) {
        averages.keys.retainAll(teams)
    }

    private companion object {
        const val WEIGHT = 0.2
        const val HINT_RANGE = 16.0
        const val SMALLEST = 1e-9
    }
}
