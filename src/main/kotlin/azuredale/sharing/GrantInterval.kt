package azuredale.sharing

import azuredale.time.Timestamp

/** Moving average of the interval between grants; used to compute the retry time of refused requests. */
internal class GrantInterval {
    private var lastGrantAt: Timestamp? = null
    private var averageMicroseconds = INITIAL_MICROSECONDS

    fun recordGrant(now: Timestamp) {
        lastGrantAt?.let { averageMicroseconds += WEIGHT * (now.microsecondsSince(it) - averageMicroseconds) }
        lastGrantAt = now
    }

    /** Expected microseconds until [count] requests are granted, clamped to fixed bounds. */
    fun expectedMicroseconds(count: Int): Long =
        (averageMicroseconds * count).toLong().coerceIn(MINIMUM_MICROSECONDS, MAXIMUM_MICROSECONDS)

    private companion object {
        const val WEIGHT = 0.1
        const val INITIAL_MICROSECONDS = 20_000.0
        const val MINIMUM_MICROSECONDS = 100_000L
        const val MAXIMUM_MICROSECONDS = 10_000_000L
    }
}
