package azuredale.admission

import azuredale.time.Timestamp

/** When a caller whose request was refused had better return while the load lasts. */
internal object RetryTime {
    /**
     * Returns the time of return for a caller that has [remainingMilliseconds] left at [now].
     *
     * @param random a number from 0 to 1, which spreads the returns.
     */
    fun at(remainingMilliseconds: Long, random: Double, now: Timestamp): Timestamp {
        val longest = remainingMilliseconds * MAXIMUM_WAIT_FRACTION
        val wait = longest * (LATE_BASE + (1 - LATE_BASE) * random)
        val microseconds = wait.coerceAtLeast(MINIMUM_WAIT_MILLISECONDS) * Timestamp.MICROSECONDS_PER_MILLISECOND
        return now.plusMicroseconds(microseconds.toLong())
    }

    /** Callers honour a retry time of up to a third of their remaining time. */
    const val MAXIMUM_WAIT_FRACTION = 0.3
    const val MINIMUM_WAIT_MILLISECONDS = 40.0
    private const val LATE_BASE = 0.4
}
