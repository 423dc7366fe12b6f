package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.protocol.Confirmation
import azuredale.time.Timestamp

/** The current document and its encoded form for peers. */
internal class HeldDocument(val accepted: AcceptedDocument) {
    val revision: Revision get() = accepted.revision

    /** The compressed envelope, computed once and sent to all peers. */
    val body: ByteArray by lazy {
        DocumentEnvelope.compress(
            DocumentEnvelope(accepted.revision, accepted.submission, text = accepted.text).encode(),
        )
    }
}

/**
 * State of [DocumentController] other than the document: the row of the freshness table.
 *
 * @property isWatching whether this node watches the document's key on behalf of its failure domain.
 * @property isPolling whether this node polls the fleet while the key-value service does not respond. True for a node
 *   that knows no other members.
 * @property nextConfirmationRequestAt earliest time of the next request to peers for a confirmation.
 */
internal data class DocumentState(
    val freshness: Freshness,
    val fleet: FleetView,
    val poll: MajorityPoll,
    val schedule: ReadSchedule,
    val fetch: PeerFetch,
    val isWatching: Boolean = false,
    val isPolling: Boolean = true,
    val mayGiveOutWork: Boolean = false,
    val nextConfirmationRequestAt: Timestamp = Timestamp.DISTANT_PAST,
) {
    fun confirmation(now: Timestamp): Confirmation? = freshness.newest?.let {
        val age = now.microsecondsSince(it.at).coerceAtLeast(0)
        Confirmation(it.revision, age / Timestamp.MICROSECONDS_PER_MILLISECOND)
    }

    fun isConnectedWithMajority(now: Timestamp, minimumFleetSize: Int): Boolean =
        poll.isMajorityRecent(now) || fleet.isMajority(1, minimumFleetSize, now)

    companion object {
        fun initial(self: RouterId) =
            DocumentState(Freshness(), FleetView(), MajorityPoll(), ReadSchedule(self), PeerFetch(self))
    }
}
