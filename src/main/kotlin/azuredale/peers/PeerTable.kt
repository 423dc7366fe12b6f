package azuredale.peers

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** The other routers, by what they report themselves. */
internal class PeerTable(private val self: RouterId) {
    private val peers = LinkedHashMap<RouterId, Peer>()
    private val sizes = ArrayDeque<Pair<Timestamp, Int>>()

    /** All routers that may still be there. */
    val all: Collection<Peer> get() = peers.values

    /** Routers that were heard of lately. */
    val alive: List<Peer> get() = peers.values.filter { it.isAlive }

    /** Adds [router] at [address] unless it is known; returns whether it is new or has moved. */
    fun add(router: RouterId, address: NetworkAddress, now: Timestamp): Boolean {
        if (router == self) return false
        val known = peers[router]
        val isNew = known == null
        if (known == null) {
            if (peers.size < MAXIMUM_PEERS) peers[router] = Peer(router, address, now)
        } else if (!known.isAlive && known.address != address) {
            known.address = address
        }
        return isNew
    }

    /** Takes what [report] says of its sender; returns the sender, or null when the report is of an older process. */
    fun heard(report: PeerReport, sentAt: Long, from: NetworkAddress, now: Timestamp): Peer? {
        val router = RouterId(report.router)
        add(router, from, now)
        val peer = peers[router] ?: return null
        val incarnation = Incarnation(report.incarnation)
        val known = peer.incarnation
        // Time of day may have stepped back before a restart, so a lower number counts once the old process is silent.
        if (known != null && incarnation < known && peer.isAlive) return null
        if (known != incarnation) peer.lastSentAt = 0
        if (sentAt < peer.lastSentAt) return null
        peer.address = from
        peer.incarnation = incarnation
        peer.failureDomain = FailureDomain(report.failureDomain)
        peer.callerAddress = NetworkAddress(report.callerHost, report.callerPort)
        peer.weight = report.weight
        peer.isReady = report.isReady
        peer.heardAt = now
        peer.lastSentAt = sentAt
        return peer
    }

    /** Updates who is alive at [now]; [onChange] hears of each change. Routers silent for long are forgotten. */
    fun update(now: Timestamp, silentAfterMilliseconds: Long, onChange: (Peer) -> Unit) {
        peers.values.forEach { peer ->
            val isAlive = now <= peer.heardAt.plusMilliseconds(silentAfterMilliseconds)
            if (isAlive != peer.isAlive) {
                peer.isAlive = isAlive
                onChange(peer)
            }
        }
        peers.values.removeIf { now > maxOf(it.heardAt, it.firstSeenAt).plusSeconds(FORGET_SECONDS) }
        sizes.addLast(now to alive.size + 1)
        while (sizes.first().first.plusSeconds(LATELY_SECONDS) < now) sizes.removeFirst()
    }

    /** The largest number of routers, with this one, that were alive together lately. */
    fun largestFleet(): Int = maxOf(peers.size + 1, sizes.maxOfOrNull { it.second } ?: 1)

    private companion object {
        /** More than the largest fleet that is planned for, 390. */
        const val MAXIMUM_PEERS = 1_024

        /** A VM that comes back announces itself, so one that is silent for so long may be forgotten. */
        const val FORGET_SECONDS = 60L

        /** Longer than the window of the retry bound. */
        const val LATELY_SECONDS = 15L
    }
}
