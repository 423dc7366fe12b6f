package azuredale.peers

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.intake.SpareCapacity
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * Another router of the fleet.
 *
 * @property lastReportReceivedAt time at which its latest report arrived.
 * @property lastHeardAt time at which it was last heard from, directly or by a relay.
 * @property describedAt time of the description of the router that is known, by which a later one is recognized.
 * @property aliveUntil time at which the router counts as silent unless it is heard from again.
 * @property contactedAt time at which this router, as a relay, began to report to it as to another relay.
 * @property changedAt time at which it last changed in being alive, ready, overloaded or crowded.
 * @property lastReportSentAt time of sending in that report by the sender's clock, which is echoed to the sender.
 * @property nextRetryAt time of the next report to this peer while it is silent.
 */
internal class Peer(
    val router: RouterId,
    var address: NetworkAddress,
    val firstSeenAt: Timestamp,
) {
    /** Position of the router in orders that all routers agree on. */
    val hash: Long = StableHash.of(router.name)
    var incarnation: Incarnation? = null
        set(value) {
            field = value
            processKey = (hash + (value?.value ?: 0) * PROCESS_FACTOR ushr Int.SIZE_BITS).toInt()
        }

    /** Identifies the router's process, by name and incarnation, in [PackedLiveness]. */
    var processKey: Int = 0
        private set
    var failureDomain: FailureDomain? = null
    var callerAddress: NetworkAddress? = null
    var weight: Double = 1.0
    var isReady: Boolean = false
    var isOverloaded: Boolean = false
    var spareQuarters: Int = SpareCapacity.ALL
    var lastReportReceivedAt: Timestamp = Timestamp.DISTANT_PAST
    var lastReportSentAt: Long = 0
    var nextRetryAt: Timestamp = Timestamp.DISTANT_PAST
    var isAlive: Boolean = false
    var lastHeardAt: Timestamp = Timestamp.DISTANT_PAST
    var describedAt: Timestamp = Timestamp.DISTANT_PAST
    var aliveUntil: Timestamp = Timestamp.DISTANT_PAST
    var contactedAt: Timestamp = Timestamp.DISTANT_PAST
    var changedAt: Timestamp = Timestamp.DISTANT_PAST

    private companion object {
        /** An odd number with many bits set, so that any change of an incarnation changes the upper half. */
        const val PROCESS_FACTOR = -7_046_029_254_386_353_131L
    }
}
