package azuredale.engine

/**
 * Latency estimates shared by the servers of one pool: the fixed part of the time to the first event, and how long a
 * request holds its slot after the first event.
 *
 * Both are moving averages of this router's observations, starting from typical values.
 */
internal class PoolLatencyEstimator {
    /** Milliseconds to the first event in addition to the prefill time. */
    var fixedMilliseconds: Double = INITIAL_FIXED_MILLISECONDS
        private set

    /** Milliseconds from the first event to the end of a request. */
    var holdMilliseconds: Double = INITIAL_HOLD_MILLISECONDS
        private set

    /** Records that a first event took [milliseconds] longer than the predicted prefill of [tokens]. */
    fun recordFixed(milliseconds: Double, tokens: Double) {
        // The less time went into prefill, the more accurately the remainder shows the fixed latency.
        val weight = FIXED_SMOOTHING * HALF_WEIGHT_TOKENS / (HALF_WEIGHT_TOKENS + tokens)
        val bounded = milliseconds.coerceIn(0.0, fixedMilliseconds * MAXIMUM_STEP_RATIO + 1)
        fixedMilliseconds += (bounded - fixedMilliseconds) * weight
    }

    /** Records that a request ended [milliseconds] after its first event. */
    fun recordHold(milliseconds: Double) {
        holdMilliseconds += (milliseconds - holdMilliseconds) * HOLD_SMOOTHING
    }

    private companion object {
        const val INITIAL_FIXED_MILLISECONDS = 30.0
        const val INITIAL_HOLD_MILLISECONDS = 800.0
        const val FIXED_SMOOTHING = 0.05
        const val HALF_WEIGHT_TOKENS = 1_000.0

        /** Limits a single observation to this multiple of the average, so that one late event has little effect. */
        const val MAXIMUM_STEP_RATIO = 3.0
        const val HOLD_SMOOTHING = 0.02
    }
}
