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
    private var sampleCount = 0.0
    private var meanLogHint = 0.0
    private var meanLogCost = 0.0
    private var meanLogHintSquare = 0.0
    private var meanProduct = 0.0
    private var meanLogCostSquare = 0.0

    /** Whether enough samples were recorded for [predictCost]. */
    val isUsable: Boolean get() = sampleCount >= MINIMUM_SAMPLES

    /** Records a [hint] and the resulting [cost]; both must be positive. */
    fun record(hint: Double, cost: Double) {
        val weight = maxOf(1.0 / (sampleCount + 1), MINIMUM_SAMPLE_WEIGHT)
        val logHint = ln(hint)
        val logCost = ln(cost)
        sampleCount++
        this.meanLogHint += weight * (logHint - this.meanLogHint)
        this.meanLogCost += weight * (logCost - this.meanLogCost)
        meanLogHintSquare += weight * (logHint * logHint - meanLogHintSquare)
        meanProduct += weight * (logHint * logCost - meanProduct)
        meanLogCostSquare += weight * (logCost * logCost - meanLogCostSquare)
    }

    /** Expected cost for [hint], assuming log-normal residuals. */
    fun predictCost(hint: Double): Double = exp(predictLogCost(hint) + residualVariance() / 2)

    /** Predicted logarithm of the cost for [hint]. */
    fun predictLogCost(hint: Double): Double = meanLogCost + slope() * (ln(hint) - this.meanLogHint)

    /** Regression slope, shrunk to one (cost proportional to hint) when hints vary too little to determine it. */
    private fun slope(): Double =
        ((covariance() + PRIOR_VARIANCE) / (variance() + PRIOR_VARIANCE)).coerceIn(0.0, MAXIMUM_SLOPE)

    /** Variance of the residuals. */
    private fun residualVariance(): Double {
        val slope = slope()
        val square =
            meanLogCostSquare - meanLogCost * meanLogCost - 2 * slope * covariance() + slope * slope * variance()
        return square.coerceAtLeast(0.0)
    }

    private fun variance(): Double = (meanLogHintSquare - meanLogHint * meanLogHint).coerceAtLeast(0.0)

    private fun covariance(): Double = meanProduct - meanLogHint * meanLogCost

    private companion object {
        const val MINIMUM_SAMPLES = 10.0

        /** Gives an effective window of about 100 samples, so that the estimate follows workload changes. */
        const val MINIMUM_SAMPLE_WEIGHT = 0.01

        /** Strength of the prior slope of one, as a variance of log hints; the variance of real hints is 1 or more. */
        const val PRIOR_VARIANCE = 0.02
        const val MAXIMUM_SLOPE = 1.5
    }
}
