package azuredale.node

import azuredale.identity.AttemptNumber
import azuredale.identity.NetworkAddress
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.outcome.Failure
import azuredale.protocol.PeerMessage
import azuredale.protocol.ProbeMessage
import azuredale.routing.RequestResult
import azuredale.time.Timestamp

/** An action that the I/O layer of a router must perform; output of the decision logic. */
public sealed interface NodeEffect {
    /** Send [message] to [to]; the message is dropped when no connection can be opened. */
    public data class SendMessage(
        val to: RouterId,
        val message: PeerMessage,
    ) : NodeEffect

    /** Send a datagram of the failure detector. */
    public data class SendDatagram(
        val to: NetworkAddress,
        val message: ProbeMessage,
    ) : NodeEffect

    /**
     * Send the request to [server] and report its progress and end.
     *
     * @property resumeAt number of units of the response that the caller has already received.
     */
    public data class StartAttempt(
        val request: RequestNumber,
        val attempt: AttemptNumber,
        val server: ServerId,
        val address: NetworkAddress,
        val resumeAt: Long = 0,
    ) : NodeEffect

    /** Cancel a running attempt; its later events are dropped. */
    public data class CancelAttempt(
        val request: RequestNumber,
        val attempt: AttemptNumber,
    ) : NodeEffect

    /** Complete the response to the caller. */
    public data class FinishRequest(
        val request: RequestNumber,
        val result: RequestResult,
    ) : NodeEffect

    /** Claim an idempotency key in the key-value service and report [NodeEvent.KeyClaimed]. */
    public data class ClaimKey(
        val request: RequestNumber,
        val team: TeamId,
        val key: String,
        val deadline: Timestamp,
    ) : NodeEffect

    /** Read the document from the key-value service. */
    public data object ReadDocument : NodeEffect

    /** Start or stop watching the document's key. */
    public data class WatchDocument(val isWatching: Boolean) : NodeEffect

    /** A queued attempt got a slot; handled by [RouterNode] itself, never by the I/O layer. */
    public data class SlotGranted(
        val slot: RequestNumber,
        val server: ServerId,
    ) : NodeEffect

    /** A queued attempt was refused; handled by [RouterNode] itself, never by the I/O layer. */
    public data class SlotRefused(
        val slot: RequestNumber,
        val failure: Failure,
    ) : NodeEffect

    /** The router has no work left after a drain request; the process may exit. */
    public data object Drained : NodeEffect
}
