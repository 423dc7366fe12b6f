package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.directory.ServerDirectory
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.gateway.GatewaySettings
import azuredale.gateway.PromptPart
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.intake.SpareCapacity
import azuredale.quarantine.Quarantine
import azuredale.resumption.MixedPool
import azuredale.time.Timestamp

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
    usage: TeamUsage,
    quarantine: Quarantine,
    private val callbacks: PeerCallbacks,
    private val isReady: () -> Boolean,
    private val isOverloaded: () -> Boolean = { false },
    private val spareQuarters: () -> Int = { SpareCapacity.ALL },
    noticeableMilliseconds: () -> Double? = { null },
) {
    private val codec = PeerCodec()
    private val table = PeerTable(settings.router)
    private val topology = RelayTopology(settings, table, isReady)
    private val periods = ReportPeriods(settings, table, topology, usage)
    private val quarantineExchange = QuarantineExchange(quarantine)
    private val evacuationExchange = EvacuationExchange(view)
    private val directoryExchange = DirectoryExchange(view, ::directoryLearned)
    private val writer =
        ReportWriter(
            view,
            statistics,
            usage,
            table,
            topology,
            periods,
            quarantineExchange,
            evacuationExchange,
            directoryExchange,
            ::ownState,
            callbacks.mixedPools,
        )
    private val early = EarlyReports(view, statistics, topology, writer, noticeableMilliseconds)
    private val loadExchange = LoadExchange(settings, incarnation, view, statistics, usage, topology, periods)
    private val proofExchange =
        ProofExchange(
            incarnation,
            view,
            quarantineExchange,
            evacuationExchange,
            directoryExchange,
            callbacks,
        )
    private var nextReportAt = Timestamp.DISTANT_PAST

    /** The other routers. */
    val peers: PeerTable get() = table

    /** How long other routers take on the mean to learn what this one sent. */
    fun reportDelayMilliseconds(): Long = periods.reportDelayMilliseconds()

    /** Number of datagrams sent, for metrics. */
    var datagramsSent: Long = 0
        private set

    /** Bytes sent, for metrics. */
    var bytesSent: Long = 0
        private set

    /** Number of rounds of early reports, for metrics. */
    val earlyRounds: Long get() = early.rounds

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

    /** Milliseconds to wait for the changes of the directory before they are read from the store. */
    fun changeDelayMilliseconds(): Long = periods.changeDelayMilliseconds()

    /** Updates which peers are alive, and sends a report if it is due. */
    fun tick(now: Timestamp) {
        table.update(now) { peer ->
            if (!peer.isAlive) statistics.loads.removePeer(peer.router)
            callbacks.onPeerChanged(peer)
        }
        if (now < nextReportAt) reportEarly(now) else report(now)
    }

    private fun reportEarly(now: Timestamp) {
        val scopes = early.dueScopes(now)
        if (scopes.isEmpty()) return
        loadExchange.rememberState(now, writer.beginEarly(now))
        val encoded = scopes.associateWith { codec.encodeReport(writer.writeEarly(it, now)) }
        table.all.forEach { peer ->
            val report = topology.earlyScopeFor(peer, now)?.let(encoded::get)
            if (report != null) send(peer, report, now)
        }
        early.recordSent(encoded.values.maxOf { it.size }, now)
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
        val wasRelay = topology.isRelay
        topology.update(now)
        if (wasRelay && !topology.isRelay) table.reportsEnded(topology::isInOwnDomain)
        loadExchange.updateSource()
        nextReportAt = now.plusMilliseconds(periods.milliseconds())
        loadExchange.rememberState(now, writer.begin(now))
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
        val createdAt = proofExchange.createdAfter(datagram, now) ?: now
        val aliveUntil = periods.aliveUntil(report, now)
        val peer = table.reportReceived(report, datagram.sentAt, from, now, createdAt, aliveUntil) ?: return
        val relayedTimeout = ReportPeriods.RELAYED_TIMEOUT_MILLISECONDS
        report.relayed.forEach { row ->
            val heardAt = createdAt.plusMilliseconds(-row.age.coerceIn(0, ReportPeriods.MAXIMUM_AGE_MILLISECONDS))
            table.relayedReceived(row, heardAt, now, heardAt.plusMilliseconds(relayedTimeout))
        }
        report.liveness?.let { table.relayedLiveness(it, createdAt, relayedTimeout, now) }
        loadExchange.apply(peer, scope, datagram, report, now)
        applyReads(report, scope, now)
        if (report.mixedPools.isNotEmpty()) applyMixedPools(report, now)
        loadExchange.applyLimits(report, now)
        proofExchange.apply(datagram, report, now)
        // A router that has just started learns the others from their answers.
        if (!topology.isMesh && datagram.echoedTime == 0L) {
            send(peer, codec.encodeReport(writer.write(ReportScope.ROUTER, now)), now)
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

    private fun applyMixedPools(report: PeerReport, now: Timestamp) {
        val pools =
            report.mixedPools.map { entry ->
                val noteAge = entry.noteAge?.coerceIn(0, ReportPeriods.MAXIMUM_AGE_MILLISECONDS)
                MixedPool(PoolId(entry.pool), noteAge?.let { now.plusMilliseconds(-it) })
            }
        callbacks.onMixedPools(pools, now)
    }

    private fun directoryLearned(directory: ServerDirectory, provenAt: Timestamp) {
        callbacks.onDirectoryLearned(directory, provenAt)
        // The routers of the failure domain get the change from this one only.
        if (topology.isRelay) nextReportAt = Timestamp.DISTANT_PAST
    }

    private fun ownState() = RouterState(
        router = settings.router.name,
        incarnation = incarnation.value,
        failureDomain = settings.failureDomain.name,
        callerHost = settings.callerAddress.host,
        callerPort = settings.callerAddress.port,
        weight = settings.weight,
        isReady = isReady(),
        isOverloaded = isOverloaded(),
        spareQuarters = spareQuarters(),
    )

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

    private companion object {
        /** Combines news that arrive shortly after each other, such as the proofs of two reads. */
        const val NEWS_DELAY_MILLISECONDS = 10L

        /** Interval between reports to a peer that does not answer. */
        const val SILENT_PEER_RETRY_MILLISECONDS = 500L
    }
}
