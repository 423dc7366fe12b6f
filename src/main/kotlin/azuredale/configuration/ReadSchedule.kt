package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Schedule of this node's reads of the key-value service.
 *
 * @property nextAt earliest time of the next read.
 * @property pendingUntil time after which the pending read counts as failed, or null if no read is pending.
 * @property failures number of consecutive failed reads.
 * @property answeredAt time of the service's last response.
 */
internal data class ReadSchedule(
    val self: RouterId,
    val nextAt: Timestamp = Timestamp.DISTANT_PAST,
    val pendingUntil: Timestamp? = null,
    val failures: Int = 0,
    val answeredAt: Timestamp = Timestamp.DISTANT_PAST,
) {
    fun started(now: Timestamp): ReadSchedule = copy(pendingUntil = now.plusMicroseconds(READ_TIMEOUT_MICROSECONDS))

    fun answered(now: Timestamp): ReadSchedule =
        ReadSchedule(self, nextAt = now.plusMicroseconds(PERIOD_MICROSECONDS), answeredAt = now)

    /** Whether the service has not responded to this node for longer than the period of reads. */
    fun isServiceUnresponsive(now: Timestamp): Boolean = now.microsecondsSince(answeredAt) > UNRESPONSIVE_MICROSECONDS

    /**
     * Delays the next read after a failed one. Ignored if no read is pending, since another call failed then.
     *
     * If [usesBackoff] is true, the delay doubles with each failure, so that not all routers call at once when an
     * outage ends. A node without a valid confirmation depends on the service and keeps the shortest delay.
     */
    fun failed(now: Timestamp, usesBackoff: Boolean): ReadSchedule {
        if (pendingUntil == null) return this
        val doublings = if (usesBackoff) failures.coerceAtMost(MAXIMUM_DOUBLINGS) else 0
        val delay = PERIOD_MICROSECONDS shl doublings
        val jitter = Math.floorMod("$self/$failures".hashCode().toLong(), delay / JITTER_DIVISOR)
        return copy(pendingUntil = null, failures = failures + 1, nextAt = now.plusMicroseconds(delay + jitter))
    }

    fun isTimedOut(now: Timestamp): Boolean = pendingUntil != null && now > pendingUntil

    fun isDue(now: Timestamp): Boolean = pendingUntil == null && now >= nextAt

    companion object {
        /** Two calls per second from each watcher: 30 at the target fleet size. The service handles 2,000. */
        const val PERIOD_MICROSECONDS = 500_000L

        /** Longer than the read period, and short enough for a poll to confirm before the last response expires. */
        const val UNRESPONSIVE_MICROSECONDS = 700_000L

        /** Longer than the timeout of a read in [DocumentSource]. */
        const val READ_TIMEOUT_MICROSECONDS = 1_000_000L
        private const val MAXIMUM_DOUBLINGS = 3
        private const val JITTER_DIVISOR = 4
    }
}
