package azuredale.sharing

import azuredale.time.Timestamp

/** Moving average of the interval between grants; used to compute the retry time of refused requests. */
internal class DrainRate {
    private var lastAt: Timestamp? = null
    private var microseconds = INITIAL_MICROSECONDS

    fun granted(now: Timestamp) {
        lastAt?.let { microseconds += WEIGHT * (now.microsecondsSince(it) - microseconds) }
        lastAt = now
    }

    /** Expected microseconds until [count] requests are granted, clamped to fixed bounds. */
    fun timeFor(count: Int): Long =
        (microseconds * count).toLong().coerceIn(SHORTEST_MICROSECONDS, LONGEST_MICROSECONDS)

    private companion object {
        const val WEIGHT = 0.1
        const val INITIAL_MICROSECONDS = 20_000.0
        const val SHORTEST_MICROSECONDS = 100_000L
        const val LONGEST_MICROSECONDS = 10_000_000L
    }
}
