package azuredale.engine

/**
 * How fast one server reads prompts, learned from the time to the first event of its streams.
 *
 * A least-squares line through the fixed part, forgetting slowly: time is tokens to read times [millisecondsPerToken].
 * A number of observations at the usual speed counts beside them, so that the first ones do not decide alone.
 */
internal class EngineSpeed {
    private var products = PRIOR * USUAL_MILLISECONDS_PER_TOKEN
    private var squares = PRIOR

    /** Milliseconds that the server takes for a token. */
    val millisecondsPerToken: Double
        get() =
            (products / squares).coerceIn(
                USUAL_MILLISECONDS_PER_TOKEN / RANGE,
                USUAL_MILLISECONDS_PER_TOKEN * RANGE,
            )

    /** Notes that reading [tokens] took [milliseconds], without the fixed part. */
    fun observed(tokens: Double, milliseconds: Double) {
        val bounded = milliseconds.coerceIn(0.0, tokens * millisecondsPerToken * LARGEST_STEP)
        products = products * DECAY + tokens * bounded + PRIOR * USUAL_MILLISECONDS_PER_TOKEN * (1 - DECAY)
        squares = squares * DECAY + tokens * tokens + PRIOR * (1 - DECAY)
    }

    companion object {
        /** Engines of today read some 100 prompt tokens in a millisecond. */
        const val USUAL_MILLISECONDS_PER_TOKEN = 0.012

        /** Servers were bought over years; anything beyond this range is waiting that was not foreseen. */
        private const val RANGE = 5.0

        /** Weight of three prompts of 3,000 tokens. */
        private const val PRIOR = 3.0 * 3_000 * 3_000

        /** Half of what was seen is forgotten after about 34 observations. */
        private const val DECAY = 0.98

        /** One late event does not move the line by more than this. */
        private const val LARGEST_STEP = 3.0
    }
}
