package azuredale.configuration

import azuredale.identity.Revision
import azuredale.time.Timestamp

/** States that [revision] was the latest in the key-value service at the time [at]. */
internal data class ConfirmedRevision(
    val revision: Revision,
    val at: Timestamp,
)

/**
 * Tracks when this node's document was last known to be the latest.
 *
 * @property newest the latest confirmation of any revision, which is forwarded to other routers.
 * @property confirmedAt latest time at which no document newer than this node's had been accepted.
 * @property lastEventAt time of the last event handled.
 * @property trustedFrom confirmations received before this time are ignored.
 */
internal data class Freshness(
    val newest: ConfirmedRevision? = null,
    val confirmedAt: Timestamp = Timestamp.DISTANT_PAST,
    val lastEventAt: Timestamp? = null,
    val trustedFrom: Timestamp = Timestamp.DISTANT_PAST,
) {
    /**
     * Records that an event is handled at [now], and detects pauses of the process.
     *
     * After a pause, the receive buffers may contain confirmations that are older than their stated age by the length
     * of the pause. Confirmations are therefore ignored until the buffers have been drained.
     */
    fun afterEvent(now: Timestamp): Freshness {
        val isPaused = lastEventAt != null && now.microsecondsSince(lastEventAt) > PAUSE_THRESHOLD_MICROSECONDS
        val trusted = if (isPaused) now.plusMicroseconds(BUFFER_DRAIN_MICROSECONDS) else trustedFrom
        return copy(lastEventAt = maxOf(now, lastEventAt ?: now), trustedFrom = trusted)
    }

    /**
     * Applies a confirmation received at [now].
     *
     * A confirmation of any revision up to [held] shows that nothing newer than [held] had been accepted at that time.
     * A newly adopted document therefore needs no confirmation of its own revision.
     */
    fun confirmed(confirmation: ConfirmedRevision, held: Revision, now: Timestamp): Freshness {
        if (now < trustedFrom || confirmation.at > now) return this
        val latest = if (newest == null || confirmation.at > newest.at) confirmation else newest
        val isCovered = confirmation.revision <= held
        return copy(
            newest = latest,
            confirmedAt = if (isCovered) maxOf(confirmedAt, confirmation.at) else confirmedAt,
        )
    }

    /** Applies the latest confirmation to a newly adopted document with revision [held]. */
    fun adopted(held: Revision): Freshness =
        if (newest != null && newest.revision <= held) copy(confirmedAt = maxOf(confirmedAt, newest.at)) else this

    fun isFresh(now: Timestamp): Boolean = now.microsecondsSince(confirmedAt) <= VALIDITY_MICROSECONDS

    /** Whether the last confirmation is so old that this node reads the service itself. */
    fun isServiceReadNeeded(now: Timestamp): Boolean =
        now.microsecondsSince(confirmedAt) > SERVICE_READ_AGE_MICROSECONDS

    /** Whether the last confirmation is so old that this node requests a newer one from peers. */
    fun isPeerRequestNeeded(now: Timestamp): Boolean =
        now.microsecondsSince(confirmedAt) > PEER_REQUEST_AGE_MICROSECONDS

    companion object {
        /** Longer than most confirmations take in a large fleet, and leaves time for several requests to peers. */
        const val PEER_REQUEST_AGE_MICROSECONDS = 1_000_000L

        /** A recall must take effect within 3 s (design section 5). This leaves 1 s of that target. */
        const val VALIDITY_MICROSECONDS = 2_000_000L

        /** Leaves time for one read of the service before the confirmation expires. */
        const val SERVICE_READ_AGE_MICROSECONDS = 1_500_000L

        /** 50 ticks. Shorter than the window, so that a paused process cannot use a confirmation twice. */
        const val PAUSE_THRESHOLD_MICROSECONDS = 1_000_000L
        const val BUFFER_DRAIN_MICROSECONDS = 250_000L
    }
}
