package azuredale.configuration

import azuredale.identity.Revision
import azuredale.time.Timestamp

/** A statement that the key-value service had [revision] as its newest at the time [at]. */
internal data class ConfirmedRevision(
    val revision: Revision,
    val at: Timestamp,
)

/**
 * How recently this node's document was known to be the newest.
 *
 * @property newest the latest confirmation, of whatever revision; passed on to other routers.
 * @property confirmedAt latest time at which no document newer than this node's was accepted.
 * @property seenAt time of the last event.
 * @property trustedFrom confirmations before this time are ignored.
 */
internal data class Freshness(
    val newest: ConfirmedRevision? = null,
    val confirmedAt: Timestamp = Timestamp.DISTANT_PAST,
    val seenAt: Timestamp? = null,
    val trustedFrom: Timestamp = Timestamp.DISTANT_PAST,
) {
    /**
     * Notes that an event is handled at [now].
     *
     * After a pause of the process the receive buffers may hold confirmations that are as old as the pause while their
     * stated age is small, so confirmations are ignored until the buffers are drained.
     */
    fun observed(now: Timestamp): Freshness {
        val isPaused = seenAt != null && now.microsecondsSince(seenAt) > PAUSE_MICROSECONDS
        val trusted = if (isPaused) now.plusMicroseconds(DRAIN_MICROSECONDS) else trustedFrom
        return copy(seenAt = maxOf(now, seenAt ?: now), trustedFrom = trusted)
    }

    /**
     * Applies a confirmation received at [now].
     *
     * A confirmation of any revision up to [held] shows that nothing newer than [held] was accepted at that time, so a
     * newly adopted document does not have to wait for a confirmation of its own.
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

    /** Applies the latest confirmation to a newly adopted document of revision [held]. */
    fun adopted(held: Revision): Freshness =
        if (newest != null && newest.revision <= held) copy(confirmedAt = maxOf(confirmedAt, newest.at)) else this

    fun isFresh(now: Timestamp): Boolean = now.microsecondsSince(confirmedAt) <= WINDOW_MICROSECONDS

    /** Whether a confirmation is so old that this node reads the service itself. */
    fun isAging(now: Timestamp): Boolean = now.microsecondsSince(confirmedAt) > AGING_MICROSECONDS

    /** Whether a confirmation is so old that a peer is asked for a newer one. */
    fun isLate(now: Timestamp): Boolean = now.microsecondsSince(confirmedAt) > LATE_MICROSECONDS

    companion object {
        /** Later than most confirmations of a large fleet; leaves time for several questions. */
        const val LATE_MICROSECONDS = 1_000_000L

        /** Design section 5; leaves 1 s of the 3 s target for a recall to take effect. */
        const val WINDOW_MICROSECONDS = 2_000_000L

        /** Leaves time for one read with its deadline before the window ends. */
        const val AGING_MICROSECONDS = 1_500_000L

        /** Fifty ticks; shorter than the window, so a paused process cannot use a confirmation twice. */
        const val PAUSE_MICROSECONDS = 1_000_000L
        const val DRAIN_MICROSECONDS = 250_000L
    }
}
