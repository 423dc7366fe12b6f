package azuredale.sharing

import azuredale.time.Timestamp
import kotlin.math.ceil

/** The role (primary or secondary) in which this router allots a shard, and when the role expires. */
internal class AllotterTerm(private val settings: SharingSettings) {
    /** Whether this router is the primary allotter, the first in rendezvous order. */
    var isPrimary: Boolean = false
        private set

    /** Deadline for registrations; meaningful only while [isCollecting]. */
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

    /** Another router became the primary; this one keeps serving routers that have not switched yet. */
    fun handOver(now: Timestamp) {
        leave(now)
        fullUntil = retireAt
    }

    fun finishCollecting() {
        isCollecting = false
    }

    /** Extends a secondary's role, because a router that uses this allotter sent a message. */
    fun heard(now: Timestamp) {
        if (!isPrimary) retireAt = now.plusMilliseconds(settings.handoverMilliseconds)
    }

    fun isOver(now: Timestamp): Boolean = !isPrimary && now >= retireAt

    /**
     * Upper bound on concurrent grants. A secondary is limited to a fraction of the [slots], because the primary grants
     * the same slots, unless [isPrimaryUnreachable].
     */
    fun bound(slots: Int, isPrimaryUnreachable: Boolean, now: Timestamp): Int {
        val isFull = isPrimary || isPrimaryUnreachable || now < fullUntil
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
