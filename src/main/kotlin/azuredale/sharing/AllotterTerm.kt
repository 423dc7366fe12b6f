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
        isCollecting = true
        collectingUntil = now.plusMilliseconds(settings.registrationMilliseconds)
    }

    fun startSecondary(now: Timestamp) {
        isPrimary = false
        isCollecting = false
        retireAt = now.plusMilliseconds(settings.handoverMilliseconds)
    }

    /** Another router became first in order; this one serves those that have not moved yet. */
    fun handOver(now: Timestamp) {
        startSecondary(now)
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

    /** Most grants in use at once: a secondary allotter uses a part of the [slots], since the first uses them too. */
    fun bound(slots: Int, now: Timestamp): Int =
        if (isPrimary || now < fullUntil) Int.MAX_VALUE else ceil(slots * settings.reserveFraction).toInt()
}
