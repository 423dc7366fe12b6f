package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
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

/** Row of the freshness table: everything [DocumentController] knows besides the document. */
internal data class DocumentState(
    val freshness: Freshness,
    val fleet: FleetView,
    val schedule: ReadSchedule,
    val fetch: PeerFetch,
    val isWatching: Boolean = false,
    val isGivingOutWork: Boolean = false,
) {
    /**
     * Whether a node that holds [held] may start new work.
     *
     * Without a recent confirmation a majority is enough, because submissions are accepted only by nodes that are
     * connected with a majority, and two majorities share a node. The majority must have been held for a while, so that
     * a node that rejoins or wakes from a pause has heard of newer documents first.
     */
    fun mayGiveOutWork(held: Revision, now: Timestamp, minimumFleetSize: Int): Boolean {
        if (freshness.isFresh(now)) return true
        val since = fleet.majoritySince ?: return false
        val settledFrom = maxOf(since, freshness.trustedFrom).plusMicroseconds(SETTLE_MICROSECONDS)
        val newestKnown = maxOf(fetch.highest, freshness.newest?.revision ?: Revision.NONE)
        return fleet.hasMajority(now, minimumFleetSize) && now >= settledFrom && newestKnown <= held
    }

    companion object {
        /** Several periods of the failure detector. */
        const val SETTLE_MICROSECONDS = 1_000_000L

        fun initial(self: RouterId) = DocumentState(Freshness(), FleetView(self), ReadSchedule(self), PeerFetch(self))
    }
}
