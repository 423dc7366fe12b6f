package azuredale.sharing

import kotlin.math.exp
import kotlin.math.ln

/**
 * Exponentially weighted least-squares regression of log cost on log hint.
 *
 * Hints differ from costs by multiplicative errors, and costs are heavy-tailed. A hint far above the average is then
 * more often an overestimate; a slope below one shrinks it towards the average.
 */
internal class LogRegression {
    private var weightedCount = 0.0
    private var hint = 0.0
    private var cost = 0.0
    private var hintSquare = 0.0
    private var product = 0.0
    private var costSquare = 0.0

    /** Whether enough samples were recorded for [expect]. */
    val isUsable: Boolean get() = weightedCount >= SMALLEST_COUNT

    /** Records a [hint] and the resulting [cost]; both must be positive. */
    fun record(hint: Double, cost: Double) {
        val weight = maxOf(1.0 / (weightedCount + 1), SMALLEST_WEIGHT)
        val first = ln(hint)
        val second = ln(cost)
        weightedCount++
        this.hint += weight * (first - this.hint)
        this.cost += weight * (second - this.cost)
        hintSquare += weight * (first * first - hintSquare)
        product += weight * (first * second - product)
        costSquare += weight * (second * second - costSquare)
    }

    /** Expected cost for [hint], assuming log-normal residuals. */
    fun expect(hint: Double): Double = exp(logarithm(hint) + scatter() / 2)

    /** Predicted logarithm of the cost for [hint]. */
    fun logarithm(hint: Double): Double = cost + slope() * (ln(hint) - this.hint)

    /** Regression slope, shrunk to one (cost proportional to hint) when hints vary too little to determine it. */
    private fun slope(): Double =
        ((covariance() + PRIOR_VARIANCE) / (variance() + PRIOR_VARIANCE)).coerceIn(0.0, LARGEST_SLOPE)

    /** Variance of the residuals. */
    private fun scatter(): Double {
        val slope = slope()
        val square = costSquare - cost * cost - 2 * slope * covariance() + slope * slope * variance()
        return square.coerceAtLeast(0.0)
    }

    private fun variance(): Double = (hintSquare - hint * hint).coerceAtLeast(0.0)

    private fun covariance(): Double = product - hint * cost

    private companion object {
        const val SMALLEST_COUNT = 10.0

        /** Gives an effective window of about 100 samples, so that the estimate follows workload changes. */
        const val SMALLEST_WEIGHT = 0.01

        /** Strength of the prior slope of one, as a variance of log hints; the variance of real hints is 1 or more. */
        const val PRIOR_VARIANCE = 0.02
        const val LARGEST_SLOPE = 1.5
    }
}
