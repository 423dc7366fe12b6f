package azuredale.freshness

import azuredale.time.Timestamp

/**
 * Schedules this router's reads of one table of the store.
 *
 * Routers share proofs of freshness, so only a few need to read. All routers agree on an order; the first router reads
 * earliest, and the others read only if its proofs do not arrive. An inaccurate view of the fleet causes additional
 * calls but never stale data.
 *
 * @param rank zero-based position of this router in the order.
 */
internal class StoreReadSchedule(private val rank: () -> Int) {
    private var isReading = false
    private var notBefore = Timestamp.DISTANT_PAST
    private var failures = 0
    private var unproven = 0

    /** Whether to read now, given the time of the latest proof and whether the local version is known to be stale. */
    fun isDue(now: Timestamp, provenAt: Timestamp, isKnownStale: Boolean): Boolean {
        if (isReading || now < notBefore) return false
        if (isKnownStale) return true
        return now.microsecondsSince(provenAt) >= waitMicroseconds()
    }

    private fun waitMicroseconds(): Long {
        val rank = rank()
        val spread = (rank - MAXIMUM_RANK).coerceAtLeast(0) * SPREAD_DELAY_MICROSECONDS
        return BASE_DELAY_MICROSECONDS + rank.coerceAtMost(MAXIMUM_RANK) * RANK_DELAY_MICROSECONDS +
            spread.coerceAtMost(MAXIMUM_SPREAD_MICROSECONDS)
    }

    fun recordStart() {
        isReading = true
    }

    /** Increases the interval with each answer that proves nothing, whatever calls for the next read. */
    fun recordSuccess(now: Timestamp, isProven: Boolean) {
        isReading = false
        failures = 0
        unproven = if (isProven) 0 else unproven + 1
        notBefore = now.plusMilliseconds(MINIMUM_INTERVAL_MILLISECONDS shl unproven.coerceAtMost(MAXIMUM_UNPROVEN))
    }

    /** Lets the next read start at [now], since it is expected to prove more than the last one. */
    fun expedite(now: Timestamp) {
        unproven = 0
        notBefore = minOf(notBefore, now)
    }

    /** Increases the delay after each failure, so that the fleet does not overload a store that recovers. */
    fun recordFailure(now: Timestamp) {
        isReading = false
        failures++
        notBefore = now.plusMilliseconds(RETRY_DELAY_MILLISECONDS shl (failures - 1).coerceAtMost(MAXIMUM_DOUBLINGS))
    }

    companion object {
        /** Less than a quarter of the shortest bound on configuration changes, 2 s, so that two reads may fail. */
        const val BASE_DELAY_MICROSECONDS = 450_000L

        /** Longer than a message exchange between routers, so that the next router receives a proof before it reads. */
        const val RANK_DELAY_MICROSECONDS = 200_000L

        /** Ranks up to this one read one after the other; the last of them reads after 1.25 s. */
        const val MAXIMUM_RANK = 4

        /** Between the later ranks, so that a large fleet without proofs does not call the store at the same moment. */
        const val SPREAD_DELAY_MICROSECONDS = 4_000L

        /** Caps the delay at 1.6 s, so that the last routers still read within the shortest bound, 2 s. */
        const val MAXIMUM_SPREAD_MICROSECONDS = 350_000L

        /** Minimum time between two reads of a table when changes follow each other quickly. */
        const val MINIMUM_INTERVAL_MILLISECONDS = 60L

        /** Doublings of that interval, to about the usual time between two reads. */
        const val MAXIMUM_UNPROVEN = 3
        const val RETRY_DELAY_MILLISECONDS = 150L
        const val MAXIMUM_DOUBLINGS = 2

        /** Time-out of a call; longer than the slowest responses of a healthy store. */
        const val CALL_TIMEOUT_MILLISECONDS = 900L
    }
}
