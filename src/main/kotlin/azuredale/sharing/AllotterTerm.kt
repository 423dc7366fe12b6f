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

    /** Whether the allotter waits for registrations; it sends no grants until then. */
    var isCollecting: Boolean = false
        private set

    private var unrestrictedUntil = Timestamp.DISTANT_PAST
    private var expiresAt = Timestamp.DISTANT_FUTURE

    fun startPrimary(now: Timestamp) {
        isPrimary = true
        collectUntil(now.plusMilliseconds(settings.registrationMilliseconds))
    }

    fun startSecondary(now: Timestamp) {
        becomeSecondary(now)
        collectUntil(now.plusMilliseconds(settings.secondaryRegistrationMilliseconds))
    }

    /** Another router became the primary; this one keeps serving routers that have not switched yet. */
    fun handOver(now: Timestamp) {
        becomeSecondary(now)
        unrestrictedUntil = expiresAt
    }

    fun finishCollecting() {
        isCollecting = false
    }

    /** Extends a secondary's role, because a router that uses this allotter sent a message. */
    fun extend(now: Timestamp) {
        if (!isPrimary) expiresAt = now.plusMilliseconds(settings.handoverMilliseconds)
    }

    fun isExpired(now: Timestamp): Boolean = !isPrimary && now >= expiresAt

    /**
     * Upper bound on concurrent grants. A secondary is limited to a fraction of the [slots], because the primary grants
     * the same slots. The limit does not apply if [isPrimaryUnreachable], or during the handover to a new primary.
     */
    fun maximumGrants(slots: Int, isPrimaryUnreachable: Boolean, now: Timestamp): Int {
        val isUnrestricted = isPrimary || isPrimaryUnreachable || now < unrestrictedUntil
        return if (isUnrestricted) Int.MAX_VALUE else ceil(slots * settings.reserveFraction).toInt()
    }

    private fun becomeSecondary(now: Timestamp) {
        isPrimary = false
        isCollecting = false
        expiresAt = now.plusMilliseconds(settings.handoverMilliseconds)
    }

    private fun collectUntil(deadline: Timestamp) {
        isCollecting = true
        collectingUntil = deadline
    }
}
