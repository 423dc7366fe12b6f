package azuredale.peers

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** The other routers of the fleet, as known from their own reports. */
internal class PeerTable(private val self: RouterId) {
    private val peers = LinkedHashMap<RouterId, Peer>()
    private val fleetSizes = ArrayDeque<Pair<Timestamp, Int>>()

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
    fun reportReceived(report: PeerReport, sentAt: Long, from: NetworkAddress, now: Timestamp): Peer? {
        val router = RouterId(report.router)
        add(router, from, now)
        val peer = peers[router] ?: return null
        val incarnation = Incarnation(report.incarnation)
        val known = peer.incarnation
        // The system clock may have been set back before a restart, so a lower incarnation is accepted once the
        // previous process is silent.
        if (known != null && incarnation < known && peer.isAlive) return null
        if (known != incarnation) peer.lastReportSentAt = 0
        if (sentAt < peer.lastReportSentAt) return null
        peer.address = from
        peer.incarnation = incarnation
        peer.failureDomain = FailureDomain(report.failureDomain)
        peer.callerAddress = NetworkAddress(report.callerHost, report.callerPort)
        peer.weight = report.weight
        peer.isReady = report.isReady
        peer.lastReportReceivedAt = now
        peer.lastReportSentAt = sentAt
        return peer
    }

    /** Updates which routers are alive at [now], calls [onChange] for each change, and removes long-silent routers. */
    fun update(now: Timestamp, timeoutMilliseconds: Long, onChange: (Peer) -> Unit) {
        peers.values.forEach { peer ->
            val isAlive = now <= peer.lastReportReceivedAt.plusMilliseconds(timeoutMilliseconds)
            if (isAlive != peer.isAlive) {
                peer.isAlive = isAlive
                onChange(peer)
            }
        }
        peers.values.removeIf { now > maxOf(it.lastReportReceivedAt, it.firstSeenAt).plusSeconds(REMOVE_AFTER_SECONDS) }
        fleetSizes.addLast(now to alive.size + 1)
        while (fleetSizes.first().first.plusSeconds(RECENT_SECONDS) < now) fleetSizes.removeFirst()
    }

    /** Largest number of routers, including this one, that may recently have been alive at the same time. */
    fun recentFleetSize(): Int = maxOf(peers.size + 1, fleetSizes.maxOfOrNull { it.second } ?: 1)

    private companion object {
        /** Exceeds the largest supported fleet of 390 routers. */
        const val MAXIMUM_PEERS = 1_024

        /** A router that returns announces itself, so one that has been silent for this long can be removed. */
        const val REMOVE_AFTER_SECONDS = 60L

        /** Must exceed the time window of the retry limit. */
        const val RECENT_SECONDS = 15L
    }
}
