package azuredale.engine

/**
 * Estimates the prefill speed of one server from the time to the first event of its streams.
 *
 * The estimate is a least-squares line through the origin, with exponential decay, after the fixed latency has been
 * subtracted: time equals tokens to prefill times [millisecondsPerToken]. A prior at the usual speed keeps the first
 * observations from determining the estimate alone.
 */
internal class PrefillSpeedEstimator {
    private var products = PRIOR * USUAL_MILLISECONDS_PER_TOKEN
    private var squares = PRIOR

    /** Prefill time per prompt token. */
    val millisecondsPerToken: Double
        get() =
            (products / squares).coerceIn(
                USUAL_MILLISECONDS_PER_TOKEN / RANGE,
                USUAL_MILLISECONDS_PER_TOKEN * RANGE,
            )

    /** Records that prefilling [tokens] took [milliseconds], excluding the fixed latency. */
    fun observed(tokens: Double, milliseconds: Double) {
        val bounded = milliseconds.coerceIn(0.0, tokens * millisecondsPerToken * LARGEST_STEP)
        products = products * DECAY + tokens * bounded + PRIOR * USUAL_MILLISECONDS_PER_TOKEN * (1 - DECAY)
        squares = squares * DECAY + tokens * tokens + PRIOR * (1 - DECAY)
    }

    companion object {
        /** Engines prefill roughly 100 prompt tokens per millisecond. */
        const val USUAL_MILLISECONDS_PER_TOKEN = 0.012

        /** Covers servers of several hardware generations; a value beyond it is queueing that was not predicted. */
        private const val RANGE = 5.0

        /** Weight of the prior: three prompts of 3,000 tokens. */
        private const val PRIOR = 3.0 * 3_000 * 3_000

        /** The weight of an observation halves after about 34 further observations. */
        private const val DECAY = 0.98

        /** Limits a single observation to this multiple of its estimate, so that one late event has little effect. */
        private const val LARGEST_STEP = 3.0
    }
}
