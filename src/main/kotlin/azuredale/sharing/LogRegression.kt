package azuredale.sharing

import kotlin.math.exp
import kotlin.math.ln

/**
 * Running least-squares line through the logarithms of hints and costs.
 *
 * Hints scatter around costs by factors, and costs have a heavy tail. A hint far above the average is then more often
 * an overestimate, so the line's slope below one pulls it back towards the average.
 */
internal class LogRegression {
    private var weightedCount = 0.0
    private var hint = 0.0
    private var cost = 0.0
    private var hintSquare = 0.0
    private var product = 0.0
    private var costSquare = 0.0

    /** Whether enough pairs were recorded for [expect]. */
    val isUsable: Boolean get() = weightedCount >= SMALLEST_COUNT

    /** Records a [hint] and the [cost] that followed; both are positive. */
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

    /** Mean cost to expect for [hint], as for logarithms that scatter normally around the line. */
    fun expect(hint: Double): Double = exp(logarithm(hint) + scatter() / 2)

    /** Logarithm of the cost on the line at [hint]. */
    fun logarithm(hint: Double): Double = cost + slope() * (ln(hint) - this.hint)

    /** Hints that hardly differ say nothing about the slope, so costs are then taken as proportional to hints. */
    private fun slope(): Double =
        ((covariance() + PRIOR_VARIANCE) / (variance() + PRIOR_VARIANCE)).coerceIn(0.0, LARGEST_SLOPE)

    /** Mean square of the distance to the line. */
    private fun scatter(): Double {
        val slope = slope()
        val square = costSquare - cost * cost - 2 * slope * covariance() + slope * slope * variance()
        return square.coerceAtLeast(0.0)
    }

    private fun variance(): Double = (hintSquare - hint * hint).coerceAtLeast(0.0)

    private fun covariance(): Double = product - hint * cost

    private companion object {
        const val SMALLEST_COUNT = 10.0

        /** About the last hundred pairs count, so that a change of the workload is followed. */
        const val SMALLEST_WEIGHT = 0.01

        /** Weight of a slope of one, as variance of the hints' logarithms; real hints vary by 1 or more. */
        const val PRIOR_VARIANCE = 0.02
        const val LARGEST_SLOPE = 1.5
    }
}
