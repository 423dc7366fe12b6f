package azuredale.freshness

import azuredale.time.Timestamp

/**
 * Judges from this router's own reads whether the store answers.
 *
 * A router that is behind handles answers late and lets calls time out, although the store answers. So slow answers and
 * time-outs count only if the router's own work ran in time meanwhile.
 */
internal class StoreHealth {
    private var lastDelayAt = Timestamp.DISTANT_PAST
    private val pending = LinkedHashSet<Timestamp>()

    /** When the latest read that the store did not answer was sent; the store may have returned right after that. */
    var lastUnansweredAt = Timestamp.DISTANT_PAST
        private set

    /** Whether the store did not answer when it was last asked. */
    var isUnavailable = false
        private set

    /** Records that this router's periodic work ran [lagMilliseconds] late. */
    fun recordLag(lagMilliseconds: Long, now: Timestamp) {
        if (lagMilliseconds >= DELAY_MILLISECONDS) lastDelayAt = now
    }

    /** Records that a read is sent. */
    fun recordSent(sentAt: Timestamp) {
        pending += sentAt
    }

    /** Records the answer to the read sent at [sentAt]. */
    fun recordAnswer(sentAt: Timestamp, now: Timestamp) {
        pending -= sentAt
        if (isSlow(sentAt, now)) recordUnanswered(sentAt) else isUnavailable = false
    }

    /** Records that the read sent at [sentAt] failed; [isRejected] if the store answered that it serves no reads. */
    fun recordFailure(sentAt: Timestamp, isRejected: Boolean) {
        pending -= sentAt
        if (isRejected || !wasDelayed(sentAt)) recordUnanswered(sentAt)
    }

    /** Updates the state by reads that are still without an answer. */
    fun update(now: Timestamp) {
        pending.filter { isSlow(it, now) }.forEach(::recordUnanswered)
    }

    /** Whether the store did not answer at some time since [time]; false if that time is unknown after a clock jump. */
    fun wasUnavailableSince(time: Timestamp): Boolean = time > Timestamp.DISTANT_PAST && lastUnansweredAt >= time

    private fun isSlow(sentAt: Timestamp, now: Timestamp) =
        now >= sentAt.plusMilliseconds(SLOW_MILLISECONDS) && !wasDelayed(sentAt)

    private fun wasDelayed(since: Timestamp) = lastDelayAt >= since

    private fun recordUnanswered(sentAt: Timestamp) {
        isUnavailable = true
        lastUnansweredAt = maxOf(lastUnansweredAt, sentAt)
    }

    private companion object {
        /** A router that keeps up runs its periodic work within 20 ms. */
        const val DELAY_MILLISECONDS = 100L

        /** Many times the answer of a healthy store, which takes milliseconds. */
        const val SLOW_MILLISECONDS = 400L
    }
}
