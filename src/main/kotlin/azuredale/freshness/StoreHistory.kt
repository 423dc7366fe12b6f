package azuredale.freshness

import azuredale.store.StoreEra
import azuredale.time.Timestamp

/**
 * The era of the store's history, as known to this router.
 *
 * When a store returns from an older copy, it does not hold what was written last until operators and servers have
 * written it again. Until they had time for that, the era is not settled, and what is read proves nothing.
 *
 * @param firstStartAt when the whole system started for the first time, so that nothing can have been lost before;
 *   null if only this router starts.
 * @param settlingMilliseconds time within which operators and servers have written again what was lost.
 */
internal class StoreHistory(
    private val firstStartAt: Timestamp?,
    private val settlingMilliseconds: Long,
) {
    /** The latest era that is known. */
    var era: StoreEra = StoreEra.NONE
        private set

    /** When the era was seen first, by this router or any other; it may have begun earlier. */
    private var seenAt = Timestamp.DISTANT_PAST

    /** When this router first saw [era]. */
    private var firstSeenAt = Timestamp.DISTANT_PAST

    /** The latest time at which the store answered nobody while the present era was not settled. */
    private var awayAt = Timestamp.DISTANT_PAST

    /** Whether the store or another router has named an era, or the store has answered without one. */
    private var isObserved = false

    /** Whether [era] is the first one that this router has seen, and may have begun long before. */
    var isFirstEra: Boolean = false
        private set

    /** Records that the store, or another router, named [seen] at [now]; returns whether it is a later era. */
    fun recordEra(seen: StoreEra, now: Timestamp): Boolean {
        val isFirstAnswer = !isObserved
        isObserved = true
        if (seen <= era) return false
        isFirstEra = isFirstAnswer
        era = seen
        firstSeenAt = now
        seenAt = if (isFirstEra && isFirstStart(now)) Timestamp.DISTANT_PAST else now
        awayAt = Timestamp.DISTANT_PAST
        return true
    }

    /** A store that gives its first answer later may have lost what was written since the start. */
    private fun isFirstStart(now: Timestamp) =
        firstStartAt?.let { now < it.plusMilliseconds(settlingMilliseconds) } ?: false

    /** Records that the store may have answered nobody from [since] to [now], so that nothing was written again. */
    fun recordAway(since: Timestamp, now: Timestamp) {
        if (isSettled(since)) return
        awayAt = now
        seenAt = now
    }

    /** Records that another router has known the present era for [age] microseconds at [now]. */
    fun recordReportedAge(age: Long, now: Timestamp) {
        if (age > 0) seenAt = maxOf(awayAt, minOf(seenAt, now.plusMicroseconds(-age)))
    }

    /** Whether a table of the era [read] that was proven at [provenAt] was proven in the present era. */
    fun isProofOfEra(read: StoreEra, provenAt: Timestamp): Boolean = read == era && provenAt > firstSeenAt

    /** Records that the present era is known to be settled. */
    fun recordSettled() {
        seenAt = Timestamp.DISTANT_PAST
    }

    /** Whether what was lost before the present era has been written again by [now]. */
    fun isSettled(now: Timestamp): Boolean = now >= settledAt

    /** When the present era is settled. */
    val settledAt: Timestamp
        get() = if (seenAt == Timestamp.DISTANT_PAST) seenAt else seenAt.plusMilliseconds(settlingMilliseconds)

    /** Microseconds for which the present era has been known at [now], or that it takes to settle if that is less. */
    fun ageMicroseconds(now: Timestamp): Long {
        val settling = settlingMilliseconds * Timestamp.MICROSECONDS_PER_MILLISECOND
        return if (isSettled(now)) settling else now.microsecondsSince(seenAt).coerceIn(0, settling)
    }
}
