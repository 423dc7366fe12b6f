package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.protocol.Confirmation
import azuredale.time.Timestamp

/** The document in force with the body that is sent to peers. */
internal class HeldDocument(val accepted: AcceptedDocument) {
    val revision: Revision get() = accepted.revision

    /** The envelope, compressed once for all peers. */
    val body: ByteArray by lazy {
        DocumentEnvelope.compress(
            DocumentEnvelope(accepted.revision, accepted.submission, text = accepted.text).encode(),
        )
    }
}

/**
 * Row of the freshness table: everything [DocumentController] knows besides the document.
 *
 * @property isWatching whether this node watches the document's key for its failure domain.
 * @property isCounting whether this node polls the fleet while the key-value service does not answer it; a
 *   node that knows no other member does.
 * @property nextPullAt earliest time at which a late confirmation is asked for again.
 */
internal data class DocumentState(
    val freshness: Freshness,
    val fleet: FleetView,
    val poll: MajorityPoll,
    val schedule: ReadSchedule,
    val fetch: PeerFetch,
    val isWatching: Boolean = false,
    val isCounting: Boolean = true,
    val isGivingOutWork: Boolean = false,
    val nextPullAt: Timestamp = Timestamp.DISTANT_PAST,
) {
    fun confirmation(now: Timestamp): Confirmation? = freshness.newest?.let {
        val age = now.microsecondsSince(it.at).coerceAtLeast(0)
        Confirmation(it.revision, age / Timestamp.MICROSECONDS_PER_MILLISECOND)
    }

    fun isConnectedWithMajority(now: Timestamp, minimumFleetSize: Int): Boolean =
        poll.isValid(now) || fleet.isMajority(1, minimumFleetSize, now)

    companion object {
        fun initial(self: RouterId) =
            DocumentState(Freshness(), FleetView(), MajorityPoll(), ReadSchedule(self), PeerFetch(self))
    }
}
