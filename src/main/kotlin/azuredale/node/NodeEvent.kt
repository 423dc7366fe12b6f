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

/** Something that happened at the edge of a router; input of the decision code. */
public sealed interface NodeEvent {
    /** Time passed; sent every [TICK_MILLISECONDS]. */
    public data object Tick : NodeEvent

    /** A caller's request arrived. */
    public data class RequestReceived(val request: CallerRequest) : NodeEvent

    /** The caller of [request] closed its connection. */
    public data class CallerGone(val request: RequestNumber) : NodeEvent

    /** An attempt delivered [cost] so far, in the pool's cost unit. */
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

    /** The key-value service answered a claim of an idempotency key. */
    public data class KeyClaimed(
        val request: RequestNumber,
        val result: ClaimResult,
    ) : NodeEvent

    /** A message of another router arrived. */
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

    /** The key-value service returned the document, which is the newest at this moment; null when none is stored. */
    public data class DocumentRead(val document: AcceptedDocument?) : NodeEvent

    /** The key-value service confirmed that [revision] is the newest. */
    public data class RevisionConfirmed(val revision: Revision) : NodeEvent

    /** A call to the key-value service failed. */
    public data object PlatformFailed : NodeEvent

    /** The platform listed its VMs; the list lags. */
    public data class VirtualMachinesListed(
        val live: Set<NetworkAddress>,
        val leaving: Set<NetworkAddress>,
    ) : NodeEvent

    /** A backend server reported its load. */
    public data class LoadReported(val report: LoadReport) : NodeEvent

    /** Backend servers published cache events. */
    public data class CacheEventsReceived(val events: List<CacheEvent>) : NodeEvent

    /** An operator or a signal asked for a graceful shutdown. */
    public data object DrainRequested : NodeEvent

    public companion object {
        /** Period of [Tick] in milliseconds. */
        public const val TICK_MILLISECONDS: Long = 20
    }
}

/** Answer of the key-value service to a claim of an idempotency key. */
public enum class ClaimResult {
    /** This request holds the claim. */
    CLAIMED,

    /** Another request, perhaps of another router, holds the claim. */
    HELD,

    /** It is known that no claim was written. */
    UNAVAILABLE,

    /** The node's budget of calls is used up; no claim was written. */
    BUDGET_EXHAUSTED,

    /** The claim may have been written; it will not be used by this request. */
    UNKNOWN,
}
