package azuredale.node

import azuredale.configuration.AcceptedDocument
import azuredale.identity.AttemptNumber
import azuredale.identity.NetworkAddress
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import azuredale.protocol.ProbeMessage
import azuredale.routing.AttemptResult
import azuredale.routing.CallerRequest
import azuredale.sharing.CacheEvent
import azuredale.sharing.LoadReport

/** Something that the I/O layer of a router observed; input of the decision logic. */
public sealed interface NodeEvent {
    /** Periodic timer event, sent every [TICK_MILLISECONDS]. */
    public data object Tick : NodeEvent

    /** A caller's request arrived. */
    public data class RequestReceived(val request: CallerRequest) : NodeEvent

    /** The caller of [request] closed its connection. */
    public data class CallerGone(val request: RequestNumber) : NodeEvent

    /** An attempt has delivered [cost] so far, in the pool's cost unit. */
    public data class AttemptProgressed(
        val request: RequestNumber,
        val attempt: AttemptNumber,
        val cost: Double,
    ) : NodeEvent

    /** An attempt ended. */
    public data class AttemptEnded(
        val request: RequestNumber,
        val attempt: AttemptNumber,
        val result: AttemptResult,
    ) : NodeEvent

    /** A claim of an idempotency key in the key-value service has ended with [result]. */
    public data class KeyClaimed(
        val request: RequestNumber,
        val result: ClaimResult,
    ) : NodeEvent

    /** A message from another router arrived. */
    public data class MessageReceived(
        val from: RouterId,
        val message: PeerMessage,
    ) : NodeEvent

    /** A connection to [router] was opened; messages sent earlier may be lost. */
    public data class PeerConnected(val router: RouterId) : NodeEvent

    /** The connection to [router] was lost. */
    public data class PeerDisconnected(val router: RouterId) : NodeEvent

    /** A datagram of the failure detector arrived. */
    public data class DatagramReceived(
        val from: NetworkAddress,
        val message: ProbeMessage,
    ) : NodeEvent

    /** The key-value service returned the newest document, or null when none is stored. */
    public data class DocumentRead(val document: AcceptedDocument?) : NodeEvent

    /** The key-value service confirmed that [revision] is the newest. */
    public data class RevisionConfirmed(val revision: Revision) : NodeEvent

    /** A call to the key-value service failed. */
    public data object PlatformFailed : NodeEvent

    /** The platform listed its VMs; the list lags behind the actual state. */
    public data class VirtualMachinesListed(
        val live: Set<NetworkAddress>,
        val leaving: Set<NetworkAddress>,
    ) : NodeEvent

    /** A backend server reported its load. */
    public data class LoadReported(val report: LoadReport) : NodeEvent

    /** Backend servers published cache events. */
    public data class CacheEventsReceived(val events: List<CacheEvent>) : NodeEvent

    /** An operator or a signal requested a graceful shutdown. */
    public data object DrainRequested : NodeEvent

    public companion object {
        /** Period of [Tick] in milliseconds. */
        public const val TICK_MILLISECONDS: Long = 20
    }
}

/** Result of claiming an idempotency key in the key-value service. */
public enum class ClaimResult {
    /** This request holds the claim. */
    CLAIMED,

    /** Another request, possibly at another router, holds the claim. */
    HELD,

    /** The claim failed, and it is certain that none was written. */
    UNAVAILABLE,

    /** The router's rate limit for platform calls is exhausted; no claim was written. */
    BUDGET_EXHAUSTED,

    /** The claim may have been written; this request does not use it. */
    UNKNOWN,
}
