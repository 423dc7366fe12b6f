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

/** Functions that [PeerExchange] calls. */
internal class PeerLinks(
    /** Sends a datagram. */
    val send: (NetworkAddress, ByteArray) -> Unit,
    /** Hears of a router that was found or fell silent. */
    val changed: (Peer) -> Unit,
    /** Hears that another router has a newer catalog or other servers. */
    val isOutdated: (isCatalogOld: Boolean, isDirectoryOld: Boolean) -> Unit,
    /** Hears of a datagram that cannot be used. */
    val refused: (NetworkAddress) -> Unit,
)

/**
 * Exchange of soft state between routers: load at the servers, prompts read there, proofs of freshness, who is there.
 *
 * Each router sends its own state to every other one. Nothing that must hold rests on it: a report that is lost, late
 * or missing costs accuracy, or a call to the store.
 */
internal class PeerExchange(
    private val settings: GatewaySettings,
    private val incarnation: Incarnation,
    private val view: StoreView,
    private val book: ServerStatistics,
    private val usage: TeamUsage,
    private val links: PeerLinks,
    private val isReady: () -> Boolean,
) {
    private val codec = PeerCodec()
    private val table = PeerTable(settings.router)
    private val freshReads = ArrayList<ReadEntry>()
    private var nextReportAt = Timestamp.DISTANT_PAST
    private var nextUsageAt = Timestamp.DISTANT_PAST
    private var gossipCursor = 0

    /** The other routers. */
    val peers: PeerTable get() = table

    /** Datagrams and bytes sent, for metrics. */
    var datagramsSent: Long = 0
        private set
    var bytesSent: Long = 0
        private set

    /** Adds a router that was found elsewhere. */
    fun found(router: RouterId, address: NetworkAddress, now: Timestamp) {
        if (table.add(router, address, now)) nextReportAt = now
    }

    /** Notes that a request with [parts] went to the server with short number [server], to be told to the others. */
    fun promptSent(server: Int, parts: List<PromptPart>) {
        parts.forEach { if (freshReads.size < MAXIMUM_READS) freshReads += ReadEntry(server, it.id, it.tokens) }
    }

    /** Place of this router in an order of the live ones that all agree on. */
    fun rank(): Int {
        val own = StableHash.of(settings.router.name)
        return table.alive.count { StableHash.of(it.router.name) < own }
    }

    /** Sends a report when it is due. */
    fun tick(now: Timestamp) {
        table.update(now, silentAfter()) { peer ->
            if (!peer.isAlive) book.loads.removePeer(peer.router)
            links.changed(peer)
        }
        if (now < nextReportAt) return
        nextReportAt = now.plusMilliseconds(period())
        report(now)
    }

    /** Sends a report at once, as a planned stop or a new catalog asks for. */
    fun report(now: Timestamp) {
        val bytes = codec.encodeReport(ownReport(now))
        freshReads.clear()
        table.all.forEach { peer ->
            if (peer.isAlive || now >= peer.reportDueAt) {
                peer.reportDueAt = now.plusMilliseconds(SILENT_PEER_MILLISECONDS)
                send(peer, bytes, now)
            }
        }
    }

    /** Takes a datagram from [from]. */
    fun received(from: NetworkAddress, bytes: ByteArray, now: Timestamp) {
        val (datagram, report) = codec.decode(bytes) ?: return links.refused(from)
        report.routers.forEach { found(RouterId(it.router), NetworkAddress(it.host, it.peerPort), now) }
        val peer = table.heard(report, datagram.sentAt, from, now) ?: return
        val validUntil = now.plusMilliseconds(silentAfter())
        book.loads.updatePeer(
            peer.router,
            report.loads.associate { it.server to ServerLoad(it.waitingTokens, it.running) },
            validUntil,
        )
        if (report.usage.isNotEmpty()) {
            val teams = report.usage.associate { it.team to TokenUsage(it.asked, it.given) }
            usage.updatePeer(peer.router, teams, now.plusMicroseconds(TeamUsage.WINDOW_MICROSECONDS))
        }
        applyReads(report)
        applyProofs(datagram, report, now)
    }

    private fun applyReads(report: PeerReport) {
        if (report.reads.isEmpty()) return
        val byNumber =
            view.directory.entries.values
                .associateBy { it.idHash }
        report.reads.groupBy { it.server }.forEach { (number, reads) ->
            val server: ServerId = byNumber[number]?.id ?: return@forEach
            book.cache.record(server, reads.map { PromptPart(it.part, it.tokens) })
        }
    }

    /**
     * A proof is dated from when this router asked for it: the echo shows that the report was made after that, so the
     * age that it states is counted from there however long the datagram was under way.
     */
    private fun applyProofs(datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        val isCatalogOld = report.catalog.version > view.revision.value
        val isDirectoryOld =
            report.directory.age in 0..MAXIMUM_PROOF_AGE &&
                report.directory.version.toInt() != view.directoryDigest &&
                now.plusMicroseconds(-report.directory.age) > view.directoryProof.at
        if (isCatalogOld || isDirectoryOld) links.isOutdated(isCatalogOld, isDirectoryOld)
        if (datagram.echo == 0L || datagram.echoIncarnation != incarnation.value || datagram.echoHeld < 0) return
        val madeAt = Timestamp(datagram.echo).plusMicroseconds(datagram.echoHeld)
        if (madeAt > now) return
        if (report.catalog.age >= 0) {
            view.confirmCatalog(Revision(report.catalog.version), madeAt.plusMicroseconds(-report.catalog.age))
        }
        if (report.directory.age >= 0) {
            view.confirmDirectory(report.directory.version.toInt(), madeAt.plusMicroseconds(-report.directory.age))
        }
    }

    private fun send(peer: Peer, report: ByteArray, now: Timestamp) {
        val held = if (peer.lastSentAt == 0L) 0 else now.microsecondsSince(peer.heardAt)
        val datagram =
            PeerDatagram(
                version = PeerCodec.VERSION,
                sentAt = now.microseconds,
                echo = peer.lastSentAt,
                echoHeld = held,
                echoIncarnation = peer.incarnation?.value ?: 0,
                report = report,
            )
        val bytes = codec.encode(datagram)
        datagramsSent++
        bytesSent += bytes.size
        links.send(peer.address, bytes)
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
        reads = freshReads.toList(),
        usage = ownUsage(now),
        routers = gossip(),
    )

    private fun age(at: Timestamp, now: Timestamp): Long =
        now.microsecondsSince(at).let { if (it in 0..MAXIMUM_PROOF_AGE) it else NO_AGE }

    private fun ownLoads(): List<LoadEntry> = book.loads.localLoads.mapNotNull { (id, load) ->
        view.directory.entries[id]?.let { LoadEntry(it.idHash, load.waitingTokens, load.running) }
    }

    /** The usage changes slowly, so it is told less often than the loads. */
    private fun ownUsage(now: Timestamp): List<UsageEntry> {
        if (now < nextUsageAt) return emptyList()
        nextUsageAt = now.plusMilliseconds(USAGE_PERIOD_MILLISECONDS)
        return usage.localUsage(now).map { (team, sum) -> UsageEntry(team, sum.requested, sum.granted) }
    }

    /** A few routers at a time, by turns, so that each soon knows of all. */
    private fun gossip(): List<RouterEntry> {
        val alive = table.alive
        if (alive.isEmpty()) return emptyList()
        return List(minOf(GOSSIPED_ROUTERS, alive.size)) {
            val peer = alive[gossipCursor++ % alive.size]
            RouterEntry(peer.router.name, peer.address.host, peer.address.port)
        }
    }

    private fun period(): Long = maxOf(SHORTEST_PERIOD_MILLISECONDS, table.all.size * PERIOD_PER_PEER_MILLISECONDS)

    private fun silentAfter(): Long = maxOf(SHORTEST_SILENCE_MILLISECONDS, period() * SILENT_PERIODS)

    private companion object {
        const val NO_AGE = -1L

        /** Proofs older than any bound that they serve are not passed on. */
        const val MAXIMUM_PROOF_AGE = 10_000_000L

        /** A prompt is read in 30 to 100 ms, so loads told less often would miss most of them. */
        const val SHORTEST_PERIOD_MILLISECONDS = 40L

        /** Keeps the datagrams of one router under 170 a second however large the fleet. */
        const val PERIOD_PER_PEER_MILLISECONDS = 6L

        /** Long enough that a few lost datagrams or a slow moment of a peer do not count as silence. */
        const val SHORTEST_SILENCE_MILLISECONDS = 600L
        const val SILENT_PERIODS = 4L

        /** How often a router that does not answer is tried. */
        const val SILENT_PEER_MILLISECONDS = 500L
        const val GOSSIPED_ROUTERS = 2
        const val USAGE_PERIOD_MILLISECONDS = 120L

        /** Keeps a datagram under the usual size of a packet. */
        const val MAXIMUM_READS = 32
    }
}
