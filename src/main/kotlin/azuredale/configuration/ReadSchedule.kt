package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * When this node reads the key-value service next.
 *
 * @property nextAt earliest time of the next read.
 * @property pendingUntil time after which the read in progress counts as failed, or null when there is none.
 * @property failures failed reads in a row.
 * @property answeredAt when the service last answered.
 */
internal data class ReadSchedule(
    val self: RouterId,
    val nextAt: Timestamp = Timestamp.DISTANT_PAST,
    val pendingUntil: Timestamp? = null,
    val failures: Int = 0,
    val answeredAt: Timestamp = Timestamp.DISTANT_PAST,
) {
    fun started(now: Timestamp): ReadSchedule = copy(pendingUntil = now.plusMicroseconds(PENDING_MICROSECONDS))

    fun answered(now: Timestamp): ReadSchedule =
        ReadSchedule(self, nextAt = now.plusMicroseconds(PERIOD_MICROSECONDS), answeredAt = now)

    /** Whether the service has not answered this node for longer than a read takes. */
    fun isSilent(now: Timestamp): Boolean = now.microsecondsSince(answeredAt) > SILENT_MICROSECONDS

    /**
     * Delays the next read after a failed one; failures of other calls change nothing.
     *
     * While [isBackedOff] the delay doubles, so that an outage does not end with the whole fleet calling at once. A
     * node that depends on the service alone keeps the shortest delay.
     */
    fun failed(now: Timestamp, isBackedOff: Boolean): ReadSchedule {
        if (pendingUntil == null) return this
        val doublings = if (isBackedOff) failures.coerceAtMost(MAXIMUM_DOUBLINGS) else 0
        val delay = PERIOD_MICROSECONDS shl doublings
        val spread = Math.floorMod("$self/$failures".hashCode().toLong(), delay / SPREAD)
        return copy(pendingUntil = null, failures = failures + 1, nextAt = now.plusMicroseconds(delay + spread))
    }

    fun isOverdue(now: Timestamp): Boolean = pendingUntil != null && now > pendingUntil

    fun isDue(now: Timestamp): Boolean = pendingUntil == null && now >= nextAt

    companion object {
        /** Two calls per second for each watcher: 30 at the design size, of the 2,000 the service handles. */
        const val PERIOD_MICROSECONDS = 500_000L

        /** Longer than the period of reads; a poll then confirms before the last answer of the service expires. */
        const val SILENT_MICROSECONDS = 700_000L

        /** Longer than the edge's own deadline for a read. */
        const val PENDING_MICROSECONDS = 1_000_000L
        private const val MAXIMUM_DOUBLINGS = 3
        private const val SPREAD = 4
    }
}
