package azuredale.peers

import azuredale.time.Timestamp

/**
 * Whether reports of other routers may have arrived without having been read, because this router stood still.
 *
 * A process that goes on after a pause runs its timers before it has read all that arrived meanwhile. Its own pause
 * would look to it like the silence of all others, and as a relay it would tell the fleet so.
 */
internal class UnreadReports {
    private var checkedAt: Timestamp? = null
    private var readAt = Timestamp.DISTANT_PAST

    /** Records a periodic check at [now] and returns whether reports may be unread. */
    fun isPossible(now: Timestamp): Boolean {
        val isLate = checkedAt?.let { now >= it.plusMilliseconds(PAUSE_MILLISECONDS) } == true
        if (isLate) readAt = now.plusMilliseconds(READING_MILLISECONDS)
        checkedAt = now
        return now < readAt
    }

    private companion object {
        /** A period of reports; a shorter pause does not make another router look silent. */
        const val PAUSE_MILLISECONDS = 200L

        /** Within this time a small VM reads what arrived in the longest tolerated silence, and a further report. */
        const val READING_MILLISECONDS = 500L
    }
}
