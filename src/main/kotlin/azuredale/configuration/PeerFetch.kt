package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Which peers hold a newer document and which one was asked.
 *
 * @property holders newest revision known of each peer that holds a newer document than this node.
 * @property asked the peer that was asked last, or null.
 * @property askedUntil time after which another peer is asked.
 * @property tried peers that were asked for the present set of holders.
 */
internal data class PeerFetch(
    val self: RouterId,
    val holders: Map<RouterId, Revision> = emptyMap(),
    val asked: RouterId? = null,
    val askedUntil: Timestamp = Timestamp.DISTANT_PAST,
    val tried: Set<RouterId> = emptySet(),
) {
    /** Highest revision that a peer is known to hold. */
    val highest: Revision get() = holders.values.maxOrNull() ?: Revision.NONE

    fun holds(router: RouterId, revision: Revision): PeerFetch =
        if (revision <= (holders[router] ?: Revision.NONE)) this else copy(holders = holders + (router to revision))

    /** Drops holders that have nothing newer than [held]. */
    fun adopted(held: Revision): PeerFetch =
        copy(holders = holders.filterValues { it > held }, asked = null, tried = emptySet())

    /** Drops the request to a peer whose answer was of no use. */
    fun answeredBadly(router: RouterId): PeerFetch = if (asked == router) copy(asked = null) else this

    /** The peer to ask next, or null while an answer is awaited or nobody holds a newer document. */
    fun next(now: Timestamp): RouterId? {
        if (holders.isEmpty() || (asked != null && now < askedUntil)) return null
        val candidates = holders.keys.filter { it !in tried }.ifEmpty { holders.keys.toList() }
        return Rendezvous.first(candidates.filter { holders[it] == highest }.ifEmpty { candidates }, self.name)
    }

    fun asking(router: RouterId, now: Timestamp): PeerFetch {
        val isSecondRound = holders.keys.all { it in tried }
        return copy(
            asked = router,
            askedUntil = now.plusMicroseconds(ANSWER_MICROSECONDS),
            tried = if (isSecondRound) setOf(router) else tried + router,
        )
    }

    companion object {
        /** Three peers can be asked before a document that was announced has to be in effect. */
        const val ANSWER_MICROSECONDS = 400_000L
    }
}
