package azuredale.engine

/**
 * What the servers of one pool have in common: the fixed part of the time to a first event, and how long a request
 * holds its slot after it.
 *
 * Both are moving averages of what this router observed; the first values serve until enough was seen.
 */
internal class PoolTiming {
    /** Milliseconds to the first event beside the reading of prompts. */
    var fixedMilliseconds: Double = INITIAL_FIXED_MILLISECONDS
        private set

    /** Milliseconds from the first event to the end of a request. */
    var holdMilliseconds: Double = INITIAL_HOLD_MILLISECONDS
        private set

    /** Notes that a first event took [milliseconds] more than the reading of the prompts accounts for. */
    fun fixedObserved(milliseconds: Double, tokens: Double) {
        // The fewer tokens were read, the better the rest shows the fixed part.
        val weight = FIXED_GAIN * SMALL_TOKENS / (SMALL_TOKENS + tokens)
        val bounded = milliseconds.coerceIn(0.0, fixedMilliseconds * LARGEST_STEP + 1)
        fixedMilliseconds += (bounded - fixedMilliseconds) * weight
    }

    /** Notes that a request ended [milliseconds] after its first event. */
    fun holdObserved(milliseconds: Double) {
        holdMilliseconds += (milliseconds - holdMilliseconds) * HOLD_GAIN
    }

    private companion object {
        const val INITIAL_FIXED_MILLISECONDS = 30.0
        const val INITIAL_HOLD_MILLISECONDS = 800.0
        const val FIXED_GAIN = 0.05
        const val SMALL_TOKENS = 1_000.0

        /** One late event does not move the average by more than this. */
        const val LARGEST_STEP = 3.0
        const val HOLD_GAIN = 0.02
    }
}
