package azuredale.peers

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Another router of the fleet.
 *
 * @property lastReportReceivedAt time at which its latest report arrived.
 * @property lastReportSentAt time of sending in that report by the sender's clock, which is echoed to the sender.
 * @property nextRetryAt time of the next report to this peer while it is silent.
 */
internal class Peer(
    val router: RouterId,
    var address: NetworkAddress,
    val firstSeenAt: Timestamp,
) {
    var incarnation: Incarnation? = null
    var failureDomain: FailureDomain? = null
    var callerAddress: NetworkAddress? = null
    var weight: Double = 1.0
    var isReady: Boolean = false
    var lastReportReceivedAt: Timestamp = Timestamp.DISTANT_PAST
    var lastReportSentAt: Long = 0
    var nextRetryAt: Timestamp = Timestamp.DISTANT_PAST
    var isAlive: Boolean = false
}
