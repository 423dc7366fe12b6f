package azuredale.peers

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** The other routers of the fleet, as known from their own reports. */
internal class PeerTable(private val self: RouterId) {
    private val peers = LinkedHashMap<RouterId, Peer>()
    private val sizes = ArrayDeque<Pair<Timestamp, Int>>()

    /** All known routers, including those that are currently silent. */
    val all: Collection<Peer> get() = peers.values

    /** Routers that sent a report recently. */
    val alive: List<Peer> get() = peers.values.filter { it.isAlive }

    /** Adds [router], or updates the address of a known router that is not alive; returns whether the router is new. */
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

    /** Updates the sender of [report] and returns it, or null if the report is outdated or the table is full. */
    fun heard(report: PeerReport, sentAt: Long, from: NetworkAddress, now: Timestamp): Peer? {
        val router = RouterId(report.router)
        add(router, from, now)
        val peer = peers[router] ?: return null
        val incarnation = Incarnation(report.incarnation)
        val known = peer.incarnation
        // The system clock may have been set back before a restart, so a lower incarnation is accepted once the
        // previous process is silent.
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

    /** Updates which routers are alive at [now], calls [onChange] for each change, and removes long-silent routers. */
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

    /** Largest number of routers, including this one, that may recently have been alive at the same time. */
    fun largestFleet(): Int = maxOf(peers.size + 1, sizes.maxOfOrNull { it.second } ?: 1)

    private companion object {
        /** Exceeds the largest supported fleet of 390 routers. */
        const val MAXIMUM_PEERS = 1_024

        /** A router that returns announces itself, so one that has been silent for this long can be removed. */
        const val FORGET_SECONDS = 60L

        /** Must exceed the time window of the retry limit. */
        const val LATELY_SECONDS = 15L
    }
}
