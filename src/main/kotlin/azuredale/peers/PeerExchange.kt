package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.admission.TokenUsage
import azuredale.directory.ServerDirectory
import azuredale.engine.ServerLimitRecord
import azuredale.engine.ServerLoad
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.gateway.GatewaySettings
import azuredale.gateway.PromptPart
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.intake.SpareCapacity
import azuredale.quarantine.Quarantine
import azuredale.time.Timestamp

/** Functions through which [PeerExchange] interacts with the rest of the gateway. */
internal class PeerCallbacks(
    /** Sends a datagram. */
    val send: (NetworkAddress, ByteArray) -> Unit,
    /** Called when a router is discovered, or when its reports stop or resume. */
    val onPeerChanged: (Peer) -> Unit,
    /** Called when another router reports a newer catalog or a different server directory. */
    val onOutdated: (isCatalogOld: Boolean, isDirectoryOld: Boolean) -> Unit,
    /** Called with a directory that results from another router's changes, and a time at which it was the newest. */
    val onDirectoryLearned: (ServerDirectory, Timestamp) -> Unit,
    /** Called with the source address and the bytes of an invalid datagram. */
    val onRefused: (NetworkAddress, ByteArray) -> Unit,
)

/**
 * Exchanges soft state between routers: server load, prompts cached by servers, proofs of freshness, known routers, and
 * prompt parts that crash servers.
 *
 * [RelayTopology] decides which routers report to each other. Correctness does not depend on the exchange: a lost or
 * late report only makes decisions less accurate or causes an additional call to the store.
 */
internal class PeerExchange(
    private val settings: GatewaySettings,
    private val incarnation: Incarnation,
    private val view: StoreView,
    private val statistics: ServerStatistics,
    private val usage: TeamUsage,
    quarantine: Quarantine,
    private val callbacks: PeerCallbacks,
    isReady: () -> Boolean,
    isOverloaded: () -> Boolean = { false },
    spareQuarters: () -> Int = { SpareCapacity.ALL },
) {
    private val codec = PeerCodec()
    private val table = PeerTable(settings.router)
    private val topology = RelayTopology(settings, table, isReady)
    private val quarantineExchange = QuarantineExchange(quarantine)
    private val evacuationExchange = EvacuationExchange(view.evacuations)
    private val directoryExchange = DirectoryExchange(view, ::directoryLearned)
    private val writer =
        ReportWriter(
            settings,
            incarnation,
            view,
            statistics,
            usage,
            table,
            topology,
            quarantineExchange,
            evacuationExchange,
            directoryExchange,
            isReady,
            isOverloaded,
            spareQuarters,
        )
    private val reportedStates = LinkedHashMap<Long, ReportedState>()
    private var nextReportAt = Timestamp.DISTANT_PAST
    private var collectsFrom: RouterId? = null

    /** The other routers. */
    val peers: PeerTable get() = table

    /** How long other routers take on the mean to learn what this one sent; a relayed report waits for three rounds. */
    fun reportDelayMilliseconds(): Long = period() * (if (topology.isMesh) 1 else RELAYED_ROUNDS) / 2

    /** Number of datagrams sent, for metrics. */
    var datagramsSent: Long = 0
        private set

    /** Bytes sent, for metrics. */
    var bytesSent: Long = 0
        private set

    /** Number of directories that this router learned from others instead of the store, for metrics. */
    val directoriesLearned: Long get() = directoryExchange.adoptions

    /** Adds a router that was discovered by other means, for example through the store. */
    fun routerDiscovered(router: RouterId, address: NetworkAddress, now: Timestamp) {
        if (table.add(router, address, now)) nextReportAt = now
    }

    /** Records, for the next report, that the prompt [parts] were sent to the server whose id has the hash [server]. */
    fun promptSent(server: Int, parts: List<PromptPart>, now: Timestamp) {
        parts.forEach { writer.addDomainRead(ReadEntry(server, it.id, it.tokens), now) }
    }

    /** Whether so few routers are known that every router reports to all others. */
    val isMesh: Boolean get() = topology.isMesh

    /** Whether this router adds up the reports of its failure domain. */
    val isRelay: Boolean get() = topology.isRelay

    /** Position of this router in the order in which routers read the store. */
    fun rank(): Int = topology.rank

    /**
     * Milliseconds to wait for the changes of the directory before they are read from the store.
     *
     * Without relays no changes are passed on. The relays, which are first in rank, wait least: all others need them.
     */
    fun changeDelayMilliseconds(): Long =
        if (topology.isMesh) 0 else topology.rank.coerceAtMost(LAST_CHANGE_RANK) * CHANGE_DELAY_MILLISECONDS

    /** Updates which peers are alive, and sends a report if it is due. */
    fun tick(now: Timestamp) {
        table.update(now) { peer ->
            if (!peer.isAlive) statistics.loads.removePeer(peer.router)
            callbacks.onPeerChanged(peer)
        }
        if (now < nextReportAt) return
        report(now)
    }

    /** Brings the next report forward after this router obtained a newer proof of freshness from the store. */
    fun proofRenewed(now: Timestamp) {
        if (!topology.isMesh) reportSoon(now)
    }

    /** Brings the next report forward after this router learned something that all routers should act on. */
    fun reportSoon(now: Timestamp) {
        nextReportAt = minOf(nextReportAt, now.plusMilliseconds(NEWS_DELAY_MILLISECONDS))
    }

    /** Sends reports immediately, for example on a planned stop or for a new catalog. */
    fun report(now: Timestamp) {
        topology.update(now)
        updateSource()
        nextReportAt = now.plusMilliseconds(period())
        rememberState(now, writer.begin(now))
        val encoded = HashMap<ReportScope, ByteArray>()
        table.all.forEach { peer ->
            val scope = topology.scopeFor(peer, now)
            if (scope != null) {
                peer.nextRetryAt = now.plusMilliseconds(SILENT_PEER_RETRY_MILLISECONDS)
                topology.recordSent(peer, scope, now)
                send(peer, encoded.getOrPut(scope) { codec.encodeReport(writer.write(scope, now)) }, now)
            }
        }
    }

    /** Handles a datagram received from [from]. */
    fun received(from: NetworkAddress, bytes: ByteArray, now: Timestamp) {
        val (datagram, report) = codec.decode(bytes) ?: return callbacks.onRefused(from, bytes)
        val scope = ReportScope.entries.getOrNull(report.scope) ?: return callbacks.onRefused(from, bytes)
        report.routers.forEach { routerDiscovered(RouterId(it.router), NetworkAddress(it.host, it.peerPort), now) }
        // A datagram may have waited unread, so ages count from the earliest time at which it was created.
        val createdAt = createdAfter(datagram, now) ?: now
        val peer =
            table.reportReceived(report, datagram.sentAt, from, now, createdAt, aliveUntil(report, now)) ?: return
        report.relayed.forEach { row ->
            val heardAt = createdAt.plusMilliseconds(-row.age.coerceIn(0, MAXIMUM_AGE_MILLISECONDS))
            table.relayedReceived(row, heardAt, now, heardAt.plusMilliseconds(RELAYED_TIMEOUT_MILLISECONDS))
        }
        report.liveness?.let { table.relayedLiveness(it, createdAt, RELAYED_TIMEOUT_MILLISECONDS, now) }
        if (isLoadSource(peer, scope)) applySums(peer, scope, datagram, report, now)
        applyReads(report, scope, now)
        applyLimits(report, now)
        applyProofs(datagram, report, now)
        // A router that has just started learns the others from their answers.
        if (!topology.isMesh && datagram.echoedTime == 0L) {
            send(peer, codec.encodeReport(writer.write(ReportScope.ROUTER, now)), now)
        }
    }

    /** Whether the loads in a report of [peer] are added to those of other reports. */
    private fun isLoadSource(peer: Peer, scope: ReportScope): Boolean = when (scope) {
        ReportScope.ROUTER -> topology.isMesh || (topology.isRelay && topology.isInOwnDomain(peer))
        ReportScope.FAILURE_DOMAIN -> topology.isRelay && !topology.isInOwnDomain(peer)
        ReportScope.FLEET -> peer.router == topology.ownRelay
    }

    private fun applySums(peer: Peer, scope: ReportScope, datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        // The sums of a relay contain the state that this router reported last.
        val included =
            if (scope == ReportScope.FLEET && datagram.echoIncarnation == incarnation.value) {
                reportedStates[datagram.echoedTime]
            } else {
                null
            }
        val loads = HashMap<Int, ServerLoad>()
        report.loads.forEach { entry ->
            val load =
                ServerLoad(
                    waitingTokens = entry.waitingTokens.coerceAtLeast(0),
                    running = entry.running.coerceAtLeast(0),
                    recentRequests = entry.recentRequests.coerceAtLeast(0),
                    committedTokens = entry.committedTokens.coerceIn(0, MAXIMUM_COMMITTED_TOKENS),
                )
            loads[entry.server] = included?.loads?.get(entry.server)?.let { load - it } ?: load
        }
        statistics.loads.updatePeer(
            router = peer.router,
            loads = loads,
            validUntil = now.plusMilliseconds(peerTimeoutMilliseconds()),
            // Each relay adds loads that were reported to it half a period ago on average.
            asOf = now.plusMilliseconds(-scope.ordinal * period() / 2),
        )
        if (report.usage.isEmpty()) return
        val teams = HashMap<Int, TokenUsage>()
        report.usage.forEach { entry ->
            val sum = TokenUsage(entry.requested.coerceAtLeast(0), entry.granted.coerceAtLeast(0))
            teams[entry.team] = included?.usage?.get(entry.team)?.let { sum - it } ?: sum
        }
        usage.updatePeer(peer.router, teams, now.plusMicroseconds(TeamUsage.WINDOW_MICROSECONDS))
    }

    private fun applyLimits(report: PeerReport, now: Timestamp) {
        report.limits.forEach { entry ->
            val server = view.directory.byIdHash[entry.server] ?: return@forEach
            val limit = entry.requestsPerSecond?.takeIf { it.isFinite() && it >= 0 }
            val heardAt = now.plusMilliseconds(-entry.age.coerceIn(0, MAXIMUM_AGE_MILLISECONDS))
            val record = ServerLimitRecord(entry.server, entry.startedAtMilliseconds, limit, heardAt)
            statistics.limits.merge(server, record, now)
        }
    }

    private fun applyReads(report: PeerReport, scope: ReportScope, now: Timestamp) {
        report.reads.forEach { read ->
            val server = view.directory.byIdHash[read.server] ?: return@forEach
            statistics.recordReportedRead(server, PromptPart(read.part, read.tokens), now)
            statistics.memory.recordReported(server, read.part, read.tokens, now)
            when (scope) {
                ReportScope.ROUTER -> if (topology.isRelay) writer.addDomainRead(read, now)
                ReportScope.FAILURE_DOMAIN -> writer.addFleetRead(read, now)
                ReportScope.FLEET -> Unit
            }
        }
    }

    /**
     * Applies the proofs of freshness in [report].
     *
     * The echo shows that the report was created after this router sent the echoed datagram. The age of a proof is
     * counted from that time, so that a delay of the datagram in transit never makes a proof appear too recent.
     */
    private fun applyProofs(datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        val createdAfter = createdAfter(datagram, now)
        if (createdAfter != null && report.directory.age >= 0) {
            directoryExchange.apply(report, createdAfter.plusMicroseconds(-report.directory.age), now)
        }
        val isCatalogOld = report.catalog.version > view.revision.value
        val isDirectoryOld =
            report.directory.age in 0..ReportWriter.MAXIMUM_PROOF_AGE_MICROSECONDS &&
                report.directory.version.toInt() != view.directoryDigest &&
                now.plusMicroseconds(-report.directory.age) > view.directoryProof.at &&
                directoryExchange.isLater(report)
        if (isCatalogOld || isDirectoryOld) callbacks.onOutdated(isCatalogOld, isDirectoryOld)
        quarantineExchange.apply(report, createdAfter, now)
        evacuationExchange.apply(report, createdAfter)
        if (createdAfter == null) return
        if (report.catalog.age >= 0) {
            view.confirmCatalog(Revision(report.catalog.version), createdAfter.plusMicroseconds(-report.catalog.age))
        }
        if (report.directory.age >= 0) {
            view.confirmDirectory(
                report.directory.version.toInt(),
                createdAfter.plusMicroseconds(-report.directory.age),
            )
        }
    }

    private fun directoryLearned(directory: ServerDirectory, provenAt: Timestamp) {
        callbacks.onDirectoryLearned(directory, provenAt)
        // The routers of the failure domain get the change from this one only.
        if (topology.isRelay) nextReportAt = Timestamp.DISTANT_PAST
    }

    /** Time after which the report in [datagram] was created, by this router's clock; null if it echoes no report. */
    private fun createdAfter(datagram: PeerDatagram, now: Timestamp): Timestamp? {
        if (datagram.echoedTime == 0L || datagram.echoIncarnation != incarnation.value) return null
        return Timestamp(datagram.echoedTime)
            .plusMicroseconds(datagram.echoDelay)
            .takeIf { datagram.echoDelay >= 0 && it <= now }
    }

    private fun send(peer: Peer, report: ByteArray, now: Timestamp) {
        val delay = if (peer.lastReportSentAt == 0L) 0 else now.microsecondsSince(peer.lastReportReceivedAt)
        val datagram =
            PeerDatagram(
                version = PeerCodec.VERSION,
                sentAt = now.microseconds,
                echoedTime = peer.lastReportSentAt,
                echoDelay = delay,
                echoIncarnation = peer.incarnation?.value ?: 0,
                report = report,
            )
        val bytes = codec.encode(datagram)
        datagramsSent++
        bytesSent += bytes.size
        callbacks.send(peer.address, bytes)
    }

    /** Drops reported loads when this router collects them from other routers than before. */
    private fun updateSource() {
        val source = if (topology.isMesh || topology.isRelay) settings.router else topology.ownRelay
        if (source == collectsFrom) return
        collectsFrom = source
        statistics.loads.retainPeer(source)
        usage.retainPeer(source)
    }

    private fun rememberState(now: Timestamp, state: ReportedState) {
        reportedStates[now.microseconds] = state
        if (reportedStates.size > REMEMBERED_STATES) reportedStates.remove(reportedStates.keys.first())
    }

    private fun aliveUntil(report: PeerReport, now: Timestamp): Timestamp {
        // A router that reports only now and then is known to be alive by its relay's reports.
        val isMember = topology.isRelay && report.sender.failureDomain == settings.failureDomain.name
        val isRegular = topology.isMesh || isMember || report.scope != ReportScope.ROUTER.ordinal
        return now.plusMilliseconds(if (isRegular) peerTimeoutMilliseconds() else RELAYED_TIMEOUT_MILLISECONDS)
    }

    private fun period(): Long = if (topology.isMesh) {
        maxOf(MINIMUM_PERIOD_MILLISECONDS, table.all.size * PERIOD_PER_PEER_MILLISECONDS)
    } else {
        RELAYED_PERIOD_MILLISECONDS
    }

    private fun peerTimeoutMilliseconds(): Long = maxOf(
        MINIMUM_PEER_TIMEOUT_MILLISECONDS,
        period() * PEER_TIMEOUT_PERIODS,
    )

    private companion object {
        /** A server processes a prompt in 30 to 100 ms, so less frequent reports would miss most of that load. */
        const val MINIMUM_PERIOD_MILLISECONDS = 40L

        /** Limits a router without relays to fewer than 170 datagrams per second. */
        const val PERIOD_PER_PEER_MILLISECONDS = 6L

        /** A router of a failure domain sends and receives five datagrams per second. */
        const val RELAYED_PERIOD_MILLISECONDS = 200L

        /** From a router to its relay, to the other relays, and to their routers. */
        const val RELAYED_ROUNDS = 3L

        /** Combines news that arrive shortly after each other, such as the proofs of two reads. */
        const val NEWS_DELAY_MILLISECONDS = 10L

        /** Long enough that a peer is not considered silent after a few lost datagrams or a short stall. */
        const val MINIMUM_PEER_TIMEOUT_MILLISECONDS = 600L
        const val PEER_TIMEOUT_PERIODS = 5L

        /**
         * Time since a router was last heard from, by whichever way, for which it counts as alive: several periods in
         * which relays pass liveness on, and a second less than the time for which answers may name a lost router.
         */
        const val RELAYED_TIMEOUT_MILLISECONDS = 5_000L

        /** Longest age that a relayed state can have; routers that are silent for longer are forgotten. */
        const val MAXIMUM_AGE_MILLISECONDS = 60_000L

        /** Interval between reports to a peer that does not answer. */
        const val SILENT_PEER_RETRY_MILLISECONDS = 500L

        /** Ranks up to this one wait one after the other, the last of them for one and a half periods of reports. */
        const val LAST_CHANGE_RANK = 4
        const val CHANGE_DELAY_MILLISECONDS = 75L

        /** Larger than the memory of a server, and small enough for a sum over the reports of all routers. */
        const val MAXIMUM_COMMITTED_TOKENS = 10_000_000

        /** Reports within the time in which a relay answers. */
        const val REMEMBERED_STATES = 16
    }
}
