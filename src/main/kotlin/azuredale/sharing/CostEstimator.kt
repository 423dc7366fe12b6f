package azuredale.sharing

import azuredale.identity.TeamId
import kotlin.math.exp
import kotlin.math.ln

/** Estimates the cost of a request from the completed requests of one pool. */
internal class CostEstimator {
    private class History(
        var cost: Double,
        var bias: Double = 0.0,
    )

    private val histories = HashMap<TeamId, History>()
    private val regression = LogRegression()

    /**
     * Returns the estimate for a request of [team]: the team's moving average or, with a [hint], the pool's regression
     * of cost on hint, corrected by the team's bias.
     *
     * A hinted estimate stays within a factor of [HINT_RANGE] of the average, so that a team with wrong hints cannot
     * obtain many grants before settlements correct the estimate.
     */
    fun estimate(team: TeamId, hint: Double?, initial: Double): Double {
        val history = histories[team]
        val base = history?.cost ?: initial
        val usableHint = usable(hint)
        if (usableHint == null || !regression.isUsable) return base.coerceAtLeast(MINIMUM_ESTIMATE)
        val expected = regression.predictCost(usableHint) * exp(history?.bias ?: 0.0)
        return expected.coerceIn(base / HINT_RANGE, base * HINT_RANGE).coerceAtLeast(MINIMUM_ESTIMATE)
    }

    /** Records the final [cost] of a request with [hint]. */
    fun settled(team: TeamId, hint: Double?, cost: Double, initial: Double) {
        if (!cost.isFinite() || cost <= 0) return
        val history = histories.getOrPut(team) { History(initial) }
        history.cost += COST_WEIGHT * (cost - history.cost)
        val usableHint = usable(hint) ?: return
        if (regression.isUsable) {
            val residual = (ln(cost) - regression.predictLogCost(usableHint)).coerceIn(-RESIDUAL_LIMIT, RESIDUAL_LIMIT)
            history.bias += BIAS_WEIGHT * (residual - history.bias)
        }
        regression.record(usableHint, cost)
    }

    fun retain(teams: Set<TeamId>) {
        histories.keys.retainAll(teams)
    }

    private fun usable(hint: Double?): Double? = hint?.takeIf { it.isFinite() && it > 0 }

    private companion object {
        const val COST_WEIGHT = 0.2

        /** Small, because a single residual is a noisy sample of the team's bias. */
        const val BIAS_WEIGHT = 0.02
        const val RESIDUAL_LIMIT = 3.0
        const val HINT_RANGE = 16.0
        const val MINIMUM_ESTIMATE = 1e-9
    }
}
