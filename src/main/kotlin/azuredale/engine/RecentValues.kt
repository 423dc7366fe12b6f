package azuredale.engine

import azuredale.time.Timestamp

/** Sum of what was added within about the last [windowMicroseconds], as a rate. */
internal class RecentRate(private val windowMicroseconds: Long) {
    private var startedAt = Timestamp.DISTANT_PAST
    private var current = 0.0
    private var previous = 0.0

    /** Adds [amount] at [now]. */
    fun add(amount: Double, now: Timestamp) {
        val passed = now.microsecondsSince(startedAt)
        if (passed >= windowMicroseconds) {
            previous = if (passed < 2 * windowMicroseconds) current else 0.0
            current = 0.0
            startedAt = if (passed < 2 * windowMicroseconds) startedAt.plusMicroseconds(windowMicroseconds) else now
        }
        current += amount
    }

    /** What was added per second; has no effect. */
    fun perSecond(now: Timestamp): Double {
        val passed = now.microsecondsSince(startedAt).toDouble() / windowMicroseconds
        val sum =
            when {
                passed < 1 -> current + previous * (1 - passed)
                passed < 2 -> current * (2 - passed)
                else -> 0.0
            }
        return sum * Timestamp.MICROSECONDS_PER_SECOND / windowMicroseconds
    }
}

/** The largest of the values that were added within the last one to two times [windowMicroseconds]. */
internal class RecentMaximum(private val windowMicroseconds: Long) {
    private var startedAt = Timestamp.DISTANT_PAST
    private var current = 0L
    private var previous = 0L

    /** Adds [value] at [now]. */
    fun add(value: Long, now: Timestamp) {
        val passed = now.microsecondsSince(startedAt)
        if (passed >= windowMicroseconds) {
            previous = if (passed < 2 * windowMicroseconds) current else 0
            current = 0
            startedAt = now
        }
        current = maxOf(current, value)
    }

    /** The largest value, 0 if there is none; has no effect. */
    fun value(now: Timestamp): Long {
        val passed = now.microsecondsSince(startedAt)
        return when {
            passed < windowMicroseconds -> maxOf(current, previous)
            passed < 2 * windowMicroseconds -> current
            else -> 0
        }
    }
}
