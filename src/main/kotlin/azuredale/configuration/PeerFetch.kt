package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Fetches a newer document from peers: tracks which peers hold one and which one was asked.
 *
 * @property holders latest known revision of each peer whose document is newer than this node's.
 * @property asked the peer asked last, or null if no reply is awaited.
 * @property askedUntil time until which a reply of [asked] is awaited.
 * @property tried peers already asked in the current round over [holders].
 */
internal data class PeerFetch(
    val self: RouterId,
    val holders: Map<RouterId, Revision> = emptyMap(),
    val asked: RouterId? = null,
    val askedUntil: Timestamp = Timestamp.DISTANT_PAST,
    val tried: Set<RouterId> = emptySet(),
) {
    /** Highest revision known to be held by a peer. */
    val highest: Revision get() = holders.values.maxOrNull() ?: Revision.NONE

    fun withHolder(router: RouterId, revision: Revision): PeerFetch =
        if (revision <= (holders[router] ?: Revision.NONE)) this else copy(holders = holders + (router to revision))

    /** Removes holders whose document is not newer than [held]. */
    fun adopted(held: Revision): PeerFetch =
        copy(holders = holders.filterValues { it > held }, asked = null, tried = emptySet())

    /** Ends the pending request after [router] replied with a malformed document. */
    fun replyRejected(router: RouterId): PeerFetch = if (asked == router) copy(asked = null) else this

    /** The peer to ask next, or null while a reply is pending or no peer holds a newer document. */
    fun nextPeer(now: Timestamp): RouterId? {
        if (holders.isEmpty() || (asked != null && now < askedUntil)) return null
        val candidates = holders.keys.filter { it !in tried }.ifEmpty { holders.keys.toList() }
        return RendezvousHash.first(candidates.filter { holders[it] == highest }.ifEmpty { candidates }, self.name)
    }

    fun requestSent(router: RouterId, now: Timestamp): PeerFetch {
        val isSecondRound = holders.keys.all { it in tried }
        return copy(
            asked = router,
            askedUntil = now.plusMicroseconds(REPLY_TIMEOUT_MICROSECONDS),
            tried = if (isSecondRound) setOf(router) else tried + router,
        )
    }

    companion object {
        /** Leaves time to ask three peers before an announced document must take effect. */
        const val REPLY_TIMEOUT_MICROSECONDS = 400_000L
    }
}
