package azuredale.engine

import kotlin.math.abs

/**
 * What predictions of first events are wrong by, besides what delays all of them, by the last streams whose predictions
 * hardly depend on what a server keeps.
 */
internal class PredictionErrors {
    private val errors = ArrayDeque(List(ASSUMED_ERRORS) { if (it % 2 == 0) ASSUMED_ERROR else -ASSUMED_ERROR })

    /** Mean of their amounts. */
    val meanMilliseconds: Double get() = errors.sumOf(::abs) / errors.size

    /** Records that a first event came [milliseconds] later than predicted; negative if earlier. */
    fun record(milliseconds: Double) {
        errors.addLast(milliseconds)
        if (errors.size > MAXIMUM_ERRORS) errors.removeFirst()
    }

    /**
     * Part of a prompt's kept parts that a first event shows as kept, as an estimate that is right on the mean of many
     * streams; a single one can be below 0 or above 1. Null if prediction errors hide too much.
     *
     * An event later than half of the prefill of these parts shows them as not kept, as often as errors alone do not
     * make it so late, and an earlier one shows them as kept, as often as errors do not make it so early.
     *
     * @param keptMilliseconds time to read the parts.
     * @param lateMilliseconds how much later than predicted the event came, besides what delays all of them.
     */
    fun keptShare(keptMilliseconds: Double, lateMilliseconds: Double): Double? {
        val bound = keptMilliseconds / 2
        val lateByError = errors.count { it > bound }.toDouble() / errors.size
        val earlyByError = errors.count { it < -bound }.toDouble() / errors.size
        val distinct = 1 - lateByError - earlyByError
        if (distinct < LEAST_DISTINCT) return null
        val missing = if (lateMilliseconds > bound) 1.0 else 0.0
        return (1 - earlyByError - missing) / distinct
    }

    private companion object {
        /** Half of the usual time to the first event of an idle server, in milliseconds, until errors are known. */
        const val ASSUMED_ERROR = 15.0
        const val ASSUMED_ERRORS = 8

        /** Bounds memory, and follows a change within some seconds. */
        const val MAXIMUM_ERRORS = 64

        /** Beyond this, more than half of the events say nothing. */
        const val LEAST_DISTINCT = 0.5
    }
}
