package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.admission.TokenUsage
import azuredale.engine.ServerLoad
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.gateway.GatewaySettings
import azuredale.gateway.PromptPart
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** Functions through which [PeerExchange] interacts with the rest of the gateway. */
internal class PeerCallbacks(
    /** Sends a datagram. */
    val send: (NetworkAddress, ByteArray) -> Unit,
    /** Called when a router is discovered, or when its reports stop or resume. */
    val onPeerChanged: (Peer) -> Unit,
    /** Called when another router reports a newer catalog or a different server directory. */
    val onOutdated: (isCatalogOld: Boolean, isDirectoryOld: Boolean) -> Unit,
    /** Called with the source address of an invalid datagram. */
    val onRefused: (NetworkAddress) -> Unit,
)

/**
 * Exchanges soft state between routers: server load, prompts cached by servers, proofs of freshness and known routers.
 *
 * Each router periodically sends its own state to all others. Correctness does not depend on it: a lost or late report
 * only makes decisions less accurate or causes an additional call to the store.
 */
internal class PeerExchange(
    private val settings: GatewaySettings,
    private val incarnation: Incarnation,
    private val view: StoreView,
    private val statistics: ServerStatistics,
    private val usage: TeamUsage,
    private val callbacks: PeerCallbacks,
    private val isReady: () -> Boolean,
) {
    private val codec = PeerCodec()
    private val table = PeerTable(settings.router)
    private val newReads = ArrayList<ReadEntry>()
    private var nextReportAt = Timestamp.DISTANT_PAST
    private var nextUsageAt = Timestamp.DISTANT_PAST
    private var routerCursor = 0

    /** The other routers. */
    val peers: PeerTable get() = table

    /** Number of datagrams sent, for metrics. */
    var datagramsSent: Long = 0
        private set

    /** Bytes sent, for metrics. */
    var bytesSent: Long = 0
        private set

    /** Adds a router that was discovered by other means, for example through the store. */
    fun routerDiscovered(router: RouterId, address: NetworkAddress, now: Timestamp) {
        if (table.add(router, address, now)) nextReportAt = now
    }

    /** Records, for the next report, that the prompt [parts] were sent to the server whose id has the hash [server]. */
    fun promptSent(server: Int, parts: List<PromptPart>) {
        parts.forEach { if (newReads.size < MAXIMUM_READS) newReads += ReadEntry(server, it.id, it.tokens) }
    }

    /** Position of this router among the live routers, in an order that is the same on all of them. */
    fun rank(): Int {
        val own = StableHash.of(settings.router.name)
        return table.alive.count { StableHash.of(it.router.name) < own }
    }

    /** Updates which peers are alive, and sends a report if it is due. */
    fun tick(now: Timestamp) {
        table.update(now, peerTimeoutMilliseconds()) { peer ->
            if (!peer.isAlive) statistics.loads.removePeer(peer.router)
            callbacks.onPeerChanged(peer)
        }
        if (now < nextReportAt) return
        nextReportAt = now.plusMilliseconds(period())
        report(now)
    }

    /** Sends a report immediately, for example on a planned stop or for a new catalog. */
    fun report(now: Timestamp) {
        val bytes = codec.encodeReport(ownReport(now))
        newReads.clear()
        table.all.forEach { peer ->
            if (peer.isAlive || now >= peer.nextRetryAt) {
                peer.nextRetryAt = now.plusMilliseconds(SILENT_PEER_RETRY_MILLISECONDS)
                send(peer, bytes, now)
            }
        }
    }

    /** Handles a datagram received from [from]. */
    fun received(from: NetworkAddress, bytes: ByteArray, now: Timestamp) {
        val (datagram, report) = codec.decode(bytes) ?: return callbacks.onRefused(from)
        report.routers.forEach { routerDiscovered(RouterId(it.router), NetworkAddress(it.host, it.peerPort), now) }
        val peer = table.reportReceived(report, datagram.sentAt, from, now) ?: return
        val validUntil = now.plusMilliseconds(peerTimeoutMilliseconds())
        statistics.loads.updatePeer(
            peer.router,
            report.loads.associate { it.server to ServerLoad(it.waitingTokens, it.running) },
            validUntil,
        )
        if (report.usage.isNotEmpty()) {
            val teams = report.usage.associate { it.team to TokenUsage(it.requested, it.granted) }
            usage.updatePeer(peer.router, teams, now.plusMicroseconds(TeamUsage.WINDOW_MICROSECONDS))
        }
        applyReads(report)
        applyProofs(datagram, report, now)
    }

    private fun applyReads(report: PeerReport) {
        if (report.reads.isEmpty()) return
        val byIdHash =
            view.directory.entries.values
                .associateBy { it.idHash }
        report.reads.groupBy { it.server }.forEach { (idHash, reads) ->
            val server: ServerId = byIdHash[idHash]?.id ?: return@forEach
            statistics.cache.record(server, reads.map { PromptPart(it.part, it.tokens) })
        }
    }

    /**
     * Applies the proofs of freshness in [report].
     *
     * The echo shows that the report was created after this router sent the echoed datagram. The age of a proof is
     * counted from that time, so that a delay of the datagram in transit never makes a proof appear too recent.
     */
    private fun applyProofs(datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        val isCatalogOld = report.catalog.version > view.revision.value
        val isDirectoryOld =
            report.directory.age in 0..MAXIMUM_PROOF_AGE &&
                report.directory.version.toInt() != view.directoryDigest &&
                now.plusMicroseconds(-report.directory.age) > view.directoryProof.at
        if (isCatalogOld || isDirectoryOld) callbacks.onOutdated(isCatalogOld, isDirectoryOld)
        if (datagram.echoedTime == 0L || datagram.echoIncarnation != incarnation.value || datagram.echoDelay < 0) return
        val createdAfter = Timestamp(datagram.echoedTime).plusMicroseconds(datagram.echoDelay)
        if (createdAfter > now) return
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

    private fun ownReport(now: Timestamp) = PeerReport(
        router = settings.router.name,
        incarnation = incarnation.value,
        failureDomain = settings.failureDomain.name,
        callerHost = settings.callerAddress.host,
        callerPort = settings.callerAddress.port,
        weight = settings.weight,
        isReady = isReady(),
        catalog = ProofEntry(view.revision.value, age(view.catalogProof.at, now)),
        directory = ProofEntry(view.directoryDigest.toLong(), age(view.directoryProof.at, now)),
        loads = ownLoads(),
        reads = newReads.toList(),
        usage = ownUsage(now),
        routers = routersToReport(),
    )

    private fun age(at: Timestamp, now: Timestamp): Long =
        now.microsecondsSince(at).let { if (it in 0..MAXIMUM_PROOF_AGE) it else NO_AGE }

    private fun ownLoads(): List<LoadEntry> = statistics.loads.localLoads.mapNotNull { (id, load) ->
        view.directory.entries[id]?.let { LoadEntry(it.idHash, load.waitingTokens, load.running) }
    }

    /** Usage changes slowly, so it is sent less often than server loads. */
    private fun ownUsage(now: Timestamp): List<UsageEntry> {
        if (now < nextUsageAt) return emptyList()
        nextUsageAt = now.plusMilliseconds(USAGE_PERIOD_MILLISECONDS)
        return usage.localUsage(now).map { (team, sum) -> UsageEntry(team, sum.requested, sum.granted) }
    }

    /** Returns a few live routers per report, in rotation, so that every router soon learns of all others. */
    private fun routersToReport(): List<RouterEntry> {
        val alive = table.alive
        if (alive.isEmpty()) return emptyList()
        return List(minOf(REPORTED_ROUTERS, alive.size)) {
            val peer = alive[routerCursor++ % alive.size]
            RouterEntry(peer.router.name, peer.address.host, peer.address.port)
        }
    }

    private fun period(): Long = maxOf(MINIMUM_PERIOD_MILLISECONDS, table.all.size * PERIOD_PER_PEER_MILLISECONDS)

    private fun peerTimeoutMilliseconds(): Long = maxOf(
        MINIMUM_PEER_TIMEOUT_MILLISECONDS,
        period() * PEER_TIMEOUT_PERIODS,
    )

    private companion object {
        const val NO_AGE = -1L

        /** In microseconds. Older proofs are not sent, since no freshness bound would accept them. */
        const val MAXIMUM_PROOF_AGE = 10_000_000L

        /** A server processes a prompt in 30 to 100 ms, so less frequent reports would miss most of that load. */
        const val MINIMUM_PERIOD_MILLISECONDS = 40L

        /** Limits each router to fewer than 170 datagrams per second, for any fleet size. */
        const val PERIOD_PER_PEER_MILLISECONDS = 6L

        /** Long enough that a peer is not considered silent after a few lost datagrams or a short stall. */
        const val MINIMUM_PEER_TIMEOUT_MILLISECONDS = 600L
        const val PEER_TIMEOUT_PERIODS = 4L

        /** Interval between reports to a peer that does not answer. */
        const val SILENT_PEER_RETRY_MILLISECONDS = 500L
        const val REPORTED_ROUTERS = 2
        const val USAGE_PERIOD_MILLISECONDS = 120L

        /** Keeps a datagram within the usual maximum size of a network packet. */
        const val MAXIMUM_READS = 32
    }
}
