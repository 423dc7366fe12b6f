package azuredale.freshness

import azuredale.time.Timestamp

/**
 * When this router reads one table of the store itself.
 *
 * Routers share their proofs, so few of them need to read: the first in an order that all agree on reads soonest, and
 * the others only when its proofs stay away. A wrong view of the fleet costs calls, never freshness.
 *
 * @param rank place of this router in the order, from 0.
 */
internal class ReadTurn(private val rank: () -> Int) {
    private var isReading = false
    private var notBefore = Timestamp.DISTANT_PAST
    private var failures = 0

    /** Whether to read now, given the time of the latest proof and whether a newer version is known to exist. */
    fun isDue(now: Timestamp, provenAt: Timestamp, isKnownOld: Boolean): Boolean {
        if (isReading || now < notBefore) return false
        if (isKnownOld) return true
        val wait = FIRST_MICROSECONDS + rank().coerceAtMost(LAST_RANK) * STEP_MICROSECONDS
        return now.microsecondsSince(provenAt) >= wait
    }

    fun started() {
        isReading = true
    }

    fun succeeded(now: Timestamp) {
        isReading = false
        failures = 0
        notBefore = now.plusMilliseconds(GAP_MILLISECONDS)
    }

    /** Waits longer after each failure, so that a store that returns is not met by the whole fleet at once. */
    fun failed(now: Timestamp) {
        isReading = false
        failures++
        notBefore = now.plusMilliseconds(RETRY_MILLISECONDS shl (failures - 1).coerceAtMost(MAXIMUM_DOUBLINGS))
    }

    companion object {
        /** A quarter of the shortest bound on configuration changes, 2 s, so that two reads may fail. */
        const val FIRST_MICROSECONDS = 450_000L

        /** Longer than an exchange between routers, so that the next in order hears of a proof before it reads. */
        const val STEP_MICROSECONDS = 200_000L

        /** The last in order still read before half of the shortest bound has passed. */
        const val LAST_RANK = 4

        /** Least time between two reads of one table, when changes follow each other quickly. */
        const val GAP_MILLISECONDS = 60L
        const val RETRY_MILLISECONDS = 150L
        const val MAXIMUM_DOUBLINGS = 2

        /** Longest wait for an answer; longer than the store takes on its slowest days. */
        const val CALL_MILLISECONDS = 900L
    }
}
