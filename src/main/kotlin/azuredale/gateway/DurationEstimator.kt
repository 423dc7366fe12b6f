package azuredale.gateway

import kotlin.math.abs

/**
 * How long the requests of each route usually take at most: a moving average of their durations plus a multiple of the
 * moving mean deviation.
 */
internal class DurationEstimator {
    private class Estimate(var average: Double) {
        var deviation = average / 2
    }

    private val estimates = HashMap<String, Estimate>()

    /** Records that a request of [route] took [milliseconds] from its sending to the end of the response. */
    fun record(route: String, milliseconds: Double) {
        val estimate = estimates[route]
        if (estimate == null) {
            if (estimates.size < MAXIMUM_ROUTES) estimates[route] = Estimate(milliseconds)
            return
        }
        val difference = milliseconds - estimate.average
        estimate.average += difference * AVERAGE_SMOOTHING
        estimate.deviation += (abs(difference) - estimate.deviation) * DEVIATION_SMOOTHING
    }

    /** Milliseconds that few requests of [route] exceed, null if none has been recorded. */
    fun usualMilliseconds(route: String): Double? = estimates[route]?.let { it.average + it.deviation * DEVIATIONS }

    private companion object {
        const val AVERAGE_SMOOTHING = 0.125
        const val DEVIATION_SMOOTHING = 0.25
        const val DEVIATIONS = 4.0

        /** Bounds memory; a catalog has fewer routes. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
