package azuredale.peers

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.intake.SpareCapacity
import azuredale.time.Timestamp

/** The other routers of the fleet, as known from their own reports. */
internal class PeerTable(private val self: RouterId) {
    private val peers = LinkedHashMap<RouterId, Peer>()
    private val byProcessKey = HashMap<Int, Peer>()
    private val fleetSizes = ArrayDeque<Pair<Timestamp, Int>>()
    private val unreadReports = UnreadReports()
    private var nextRemovalAt = Timestamp.DISTANT_PAST

    /** All known routers, including those that are currently silent. */
    val all: Collection<Peer> get() = peers.values

    /** Names of all known routers, including those that have been silent for a while. */
    val routers: Set<RouterId> get() = peers.keys

    /** Routers that sent a report recently. */
    val alive: List<Peer> get() = peers.values.filter { it.isAlive }

    private var lastRemovalAt = Timestamp.DISTANT_PAST
    private var hasKnownOthers = false

    /**
     * Whether every router that was known at [knownAt], or has been since, has been heard from since [since].
     *
     * A router that has been removed for its silence may still run and only be out of reach. A router that has known
     * others and knows none any more cannot tell.
     */
    fun haveAllReported(knownAt: Timestamp, since: Timestamp): Boolean {
        if (peers.isEmpty() && hasKnownOthers) return false
        return lastRemovalAt <= knownAt && peers.values.all { it.lastHeardAt >= since }
    }

    /** The router named [router], or null if it is unknown. */
    fun find(router: RouterId): Peer? = peers[router]

    /** Adds [router], or updates the address of a known router that is not alive; returns whether the router is new. */
    fun add(router: RouterId, address: NetworkAddress, now: Timestamp): Boolean {
        if (router == self) return false
        hasKnownOthers = true
        val known = peers[router]
        val isNew = known == null
        if (known == null) {
            if (peers.size < MAXIMUM_PEERS) peers[router] = Peer(router, address, now)
        } else if (!known.isAlive && known.address != address) {
            known.address = address
        }
        return isNew
    }

    /**
     * Updates the sender of [report] and returns it, or null if the report is outdated or the table is full.
     *
     * @param heardAt time at which the report was created at the earliest, which relays pass on.
     */
    fun reportReceived(
        report: PeerReport,
        sentAt: Long,
        from: NetworkAddress,
        now: Timestamp,
        heardAt: Timestamp,
        aliveUntil: Timestamp,
    ): Peer? {
        val state = report.sender
        val router = RouterId(state.router)
        add(router, from, now)
        val peer = peers[router] ?: return null
        val incarnation = Incarnation(state.incarnation)
        val known = peer.incarnation
        // The system clock may have been set back before a restart, so a lower incarnation is accepted once the
        // previous process is silent.
        if (known != null && incarnation < known && peer.isAlive) return null
        if (known != incarnation) peer.lastReportSentAt = 0
        if (sentAt < peer.lastReportSentAt) return null
        peer.address = from
        setIncarnation(peer, incarnation)
        peer.update(state, now)
        peer.aliveUntil = aliveUntil
        peer.lastHeardAt = maxOf(peer.lastHeardAt, heardAt)
        peer.describedAt = maxOf(peer.describedAt, heardAt)
        peer.lastReportReceivedAt = now
        peer.lastReportSentAt = sentAt
        return peer
    }

    /**
     * Applies the state of a router that is not heard from directly, as relayed by another router.
     *
     * @param heardAt time of the description, or, of a silent router, at which the relay last heard from it.
     * @param aliveUntil time until which the router counts as alive, if the relay counts it as alive.
     */
    fun relayedReceived(row: RelayedRouter, heardAt: Timestamp, now: Timestamp, aliveUntil: Timestamp) {
        val router = RouterId(row.state.router)
        val address = NetworkAddress(row.host, row.peerPort)
        add(router, address, now)
        val peer = peers[router] ?: return
        if (!row.isAlive) return relayedSilent(peer, heardAt, now)
        if (heardAt > peer.lastHeardAt) {
            peer.lastHeardAt = heardAt
            peer.aliveUntil = maxOf(peer.aliveUntil, aliveUntil)
        }
        if (heardAt <= peer.describedAt) return
        peer.describedAt = heardAt
        val incarnation = Incarnation(row.state.incarnation)
        if (peer.incarnation != incarnation) {
            peer.lastReportSentAt = 0
            setIncarnation(peer, incarnation)
        }
        peer.update(row.state, now)
    }

    /**
     * Applies the [PackedLiveness] in a report that was created at [createdAt] or later.
     *
     * @param timeoutMilliseconds time since a router was heard from for which it counts as alive.
     */
    fun relayedLiveness(bytes: ByteArray, createdAt: Timestamp, timeoutMilliseconds: Long, now: Timestamp) {
        PackedLiveness.forEach(bytes) { processKey, isAlive, age ->
            val peer = byProcessKey[processKey]
            val heardAt = createdAt.plusMilliseconds(-age)
            when {
                peer == null -> Unit
                !isAlive -> relayedSilent(peer, heardAt, now)
                heardAt > peer.lastHeardAt -> {
                    peer.lastHeardAt = heardAt
                    peer.aliveUntil = maxOf(peer.aliveUntil, heardAt.plusMilliseconds(timeoutMilliseconds))
                }
            }
        }
    }

    /** A router that was heard from since [heardAt] by other ways is alive. */
    private fun relayedSilent(peer: Peer, heardAt: Timestamp, now: Timestamp) {
        if (heardAt >= peer.lastHeardAt.plusMilliseconds(-SILENCE_TOLERANCE_MILLISECONDS)) {
            peer.aliveUntil = minOf(peer.aliveUntil, now)
        }
    }

    /** The routers that match [isAffected] report to another relay from now on, so that less is heard from them. */
    fun reportsEnded(isAffected: (Peer) -> Boolean) {
        peers.values
            .filter { it.isAlive && isAffected(it) }
            .forEach { it.aliveUntil = maxOf(it.aliveUntil, it.silentAt) }
    }

    private fun setIncarnation(peer: Peer, incarnation: Incarnation) {
        if (peer.incarnation == incarnation) return
        byProcessKey.remove(peer.processKey, peer)
        peer.incarnation = incarnation
        byProcessKey[peer.processKey] = peer
    }

    private fun Peer.update(state: RouterState, now: Timestamp) {
        failureDomain = FailureDomain(state.failureDomain)
        callerAddress = NetworkAddress(state.callerHost, state.callerPort)
        weight = state.weight
        val isCrowdChanged = (spareQuarters == 0) != (state.spareQuarters == 0)
        if (isReady != state.isReady || isOverloaded != state.isOverloaded || isCrowdChanged) changedAt = now
        isReady = state.isReady
        isOverloaded = state.isOverloaded
        spareQuarters = state.spareQuarters.coerceIn(0, SpareCapacity.ALL)
    }

    /**
     * Updates which routers are alive at [now], calls [onChange] for each change, and removes long-silent routers.
     *
     * Must be called regularly, since a late call shows that this router may not have read what others sent.
     */
    fun update(now: Timestamp, onChange: (Peer) -> Unit) {
        val isUnread = unreadReports.isPossible(now)
        peers.values.forEach { peer ->
            val isAlive = now < peer.aliveUntil || (isUnread && peer.isAlive && now < peer.silentAt)
            if (isAlive != peer.isAlive) {
                peer.isAlive = isAlive
                peer.changedAt = now
                onChange(peer)
            }
        }
        if (now >= nextRemovalAt) removeSilent(now)
        val size = peers.values.count { it.isAlive } + 1
        if (fleetSizes.lastOrNull()?.second != size) fleetSizes.addLast(now to size)
        while (fleetSizes.size > 1 && fleetSizes[1].first.plusSeconds(RECENT_SECONDS) < now) fleetSizes.removeFirst()
    }

    private fun removeSilent(now: Timestamp) {
        nextRemovalAt = now.plusSeconds(1)
        peers.values.removeIf { peer ->
            val isForgotten = now > maxOf(peer.aliveUntil, peer.firstSeenAt).plusSeconds(REMOVE_AFTER_SECONDS)
            if (isForgotten) {
                byProcessKey.remove(peer.processKey, peer)
                lastRemovalAt = now
            }
            isForgotten
        }
    }

    /** Largest number of routers, including this one, that may recently have been alive at the same time. */
    fun recentFleetSize(): Int = maxOf(peers.size + 1, fleetSizes.maxOfOrNull { it.second } ?: 1)

    /** Time from which on the router counts as silent even if its latest reports may not have been read. */
    private val Peer.silentAt get() = lastHeardAt.plusMilliseconds(MAXIMUM_SILENCE_MILLISECONDS)

    companion object {
        /**
         * Longest time since a router was last heard from, by whichever way, for which it counts as alive: a second
         * less than the time for which answers may name a lost router.
         */
        const val MAXIMUM_SILENCE_MILLISECONDS = 5_000L

        /** Exceeds the largest supported fleet of 390 routers. */
        private const val MAXIMUM_PEERS = 1_024

        /** Covers the transit of relayed reports when their times are compared. */
        private const val SILENCE_TOLERANCE_MILLISECONDS = 250L

        /** A router that returns announces itself, so one that has been silent for this long can be removed. */
        private const val REMOVE_AFTER_SECONDS = 60L

        /** Must exceed the time window of the retry limit. */
        private const val RECENT_SECONDS = 15L
    }
}
