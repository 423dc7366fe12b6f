package azuredale.sharing

import azuredale.time.Timestamp
import kotlin.math.ceil

/** In which role a router allots a shard, and until when. */
internal class AllotterTerm(private val settings: SharingSettings) {
    /** Whether this router is the first in order. */
    var isPrimary: Boolean = false
        private set

    /** While registrations are collected: the deadline. */
    var collectingUntil: Timestamp = Timestamp.DISTANT_PAST
        private set

    var isCollecting: Boolean = false
        private set

    private var fullUntil = Timestamp.DISTANT_PAST
    private var retireAt = Timestamp.DISTANT_FUTURE

    fun startPrimary(now: Timestamp) {
        isPrimary = true
        collectUntil(now.plusMilliseconds(settings.registrationMilliseconds))
    }

    fun startSecondary(now: Timestamp) {
        leave(now)
        collectUntil(now.plusMilliseconds(settings.secondaryMilliseconds))
    }

    /** Another router became first in order; this one serves those that have not moved yet. */
    fun handOver(now: Timestamp) {
        leave(now)
        fullUntil = retireAt
    }

    fun finishCollecting() {
        isCollecting = false
    }

    /** A router that uses this allotter sent a message. */
    fun heard(now: Timestamp) {
        if (!isPrimary) retireAt = now.plusMilliseconds(settings.handoverMilliseconds)
    }

    fun isOver(now: Timestamp): Boolean = !isPrimary && now >= retireAt

    /**
     * Most grants in use at once. A secondary allotter uses a part of the [slots], since the first one uses them too,
     * until [isFirstLost].
     */
    fun bound(slots: Int, isFirstLost: Boolean, now: Timestamp): Int {
        val isFull = isPrimary || isFirstLost || now < fullUntil
        return if (isFull) Int.MAX_VALUE else ceil(slots * settings.reserveFraction).toInt()
    }

    private fun leave(now: Timestamp) {
        isPrimary = false
        isCollecting = false
        retireAt = now.plusMilliseconds(settings.handoverMilliseconds)
    }

    private fun collectUntil(deadline: Timestamp) {
        isCollecting = true
        collectingUntil = deadline
    }
}
