package azuredale.engine

/**
 * Estimates the prefill speed of one server from the time to the first event of its streams.
 *
 * The estimate is a least-squares line through the origin, with exponential decay, after the fixed latency has been
 * subtracted: time equals tokens to prefill times [millisecondsPerToken]. A prior at the usual speed keeps the first
 * observations from determining the estimate alone.
 */
internal class PrefillSpeedEstimator {
    private var products = PRIOR_WEIGHT * USUAL_MILLISECONDS_PER_TOKEN
    private var squares = PRIOR_WEIGHT

    /** Prefill time per prompt token. */
    val millisecondsPerToken: Double
        get() =
            (products / squares).coerceIn(
                USUAL_MILLISECONDS_PER_TOKEN / MAXIMUM_SPEED_RATIO,
                USUAL_MILLISECONDS_PER_TOKEN * MAXIMUM_SPEED_RATIO,
            )

    /** Records that prefilling [tokens] took [milliseconds], excluding the fixed latency. */
    fun record(tokens: Double, milliseconds: Double) {
        val bounded = milliseconds.coerceIn(0.0, tokens * millisecondsPerToken * MAXIMUM_STEP_RATIO)
        products = products * DECAY + tokens * bounded + PRIOR_WEIGHT * USUAL_MILLISECONDS_PER_TOKEN * (1 - DECAY)
        squares = squares * DECAY + tokens * tokens + PRIOR_WEIGHT * (1 - DECAY)
    }

    companion object {
        /** Engines prefill roughly 100 prompt tokens per millisecond. */
        const val USUAL_MILLISECONDS_PER_TOKEN = 0.012

        /** Covers servers of several hardware generations; a value beyond it is queueing that was not predicted. */
        private const val MAXIMUM_SPEED_RATIO = 5.0

        /** Weight of the prior: three prompts of 3,000 tokens. */
        private const val PRIOR_WEIGHT = 3.0 * 3_000 * 3_000

        /** The weight of an observation halves after about 34 further observations. */
        private const val DECAY = 0.98

        /** Limits a single observation to this multiple of its estimate, so that one late event has little effect. */
        private const val MAXIMUM_STEP_RATIO = 3.0
    }
}
