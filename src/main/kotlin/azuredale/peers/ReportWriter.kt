package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.admission.TokenUsage
import azuredale.engine.ServerLoad
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.resumption.MixedPool
import azuredale.store.StoreEra
import azuredale.time.Timestamp
import java.util.EnumMap

/** Loads and usage of this router as contained in one of its reports. */
internal class ReportedState(
    val loads: Map<Int, ServerLoad>,
    val usage: Map<Int, TokenUsage>,
)

/**
 * Writes this router's reports.
 *
 * [begin] fixes the contents of one round of reports; [write] then returns the report of a scope.
 *
 * @param ownState what this router says of itself.
 * @param mixedPools the pools whose servers have had several software versions lately.
 */
internal class ReportWriter(
    private val view: StoreView,
    private val statistics: ServerStatistics,
    private val usage: TeamUsage,
    private val table: PeerTable,
    private val topology: RelayTopology,
    private val periods: ReportPeriods,
    private val quarantine: QuarantineExchange,
    private val evacuations: EvacuationExchange,
    private val directory: DirectoryExchange,
    private val ownState: () -> RouterState,
    private val mixedPools: () -> List<MixedPool>,
) {
    private val domainReads = PromptReadBuffer()
    private val fleetReads = PromptReadBuffer()
    private var roundDomainReads: List<ReadEntry> = emptyList()
    private var roundFleetReads: List<ReadEntry> = emptyList()
    private var isUsageDue = false
    private var isLivenessDue = false
    private var lastLivenessAt = Timestamp.DISTANT_PAST
    private var lastUsageAt = Timestamp.DISTANT_PAST
    private var routerCursor = 0
    private val relayedCursors = IntArray(ReportScope.entries.size)
    private var lastUsage: Map<Int, TokenUsage> = emptyMap()
    private var roundLoads: Map<Int, ServerLoad> = emptyMap()
    private var roundAt = Timestamp.DISTANT_PAST
    private val reportedLoads = EnumMap<ReportScope, Map<Int, ServerLoad>>(ReportScope::class.java)

    /** The loads of [scope] as of the latest report that added it up. */
    fun reported(scope: ReportScope): Map<Int, ServerLoad> = reportedLoads[scope].orEmpty()

    /** Adds a prompt part read by a server through a router of this failure domain, for the next reports. */
    fun addDomainRead(read: ReadEntry, now: Timestamp) {
        domainReads.add(read, now)
        addFleetRead(read, now)
    }

    /** Adds a prompt part read by a server through a router of another failure domain. */
    fun addFleetRead(read: ReadEntry, now: Timestamp) {
        if (topology.isRelay) fleetReads.add(read, now)
    }

    /** Begins a round of reports and returns this router's own state as contained in them. */
    fun begin(now: Timestamp): ReportedState {
        directory.begin(now)
        roundDomainReads = domainReads.take()
        roundFleetReads = fleetReads.take()
        isUsageDue = now >= lastUsageAt.plusMilliseconds(periods.usageMilliseconds(now))
        if (isUsageDue) {
            lastUsageAt = now
            lastUsage = usage.localUsage(now)
        }
        isLivenessDue = topology.isRelay && now >= lastLivenessAt.plusMilliseconds(livenessPeriod(now))
        if (isLivenessDue) lastLivenessAt = now
        return beginEarly(now)
    }

    /** Begins a round of early reports, which contain loads only, and returns this router's own state as reported. */
    fun beginEarly(now: Timestamp): ReportedState {
        roundLoads = ownLoads(now)
        roundAt = now
        return ReportedState(roundLoads, lastUsage)
    }

    /** Many routers that change together, such as a lost failure domain, do not fit into the descriptions in full. */
    private fun livenessPeriod(now: Timestamp): Long {
        val changed = table.all.count { isChanged(it, now) }
        return if (changed > MAXIMUM_CHANGED_ROUTERS) URGENT_LIVENESS_MILLISECONDS else LIVENESS_MILLISECONDS
    }

    private fun isChanged(peer: Peer, now: Timestamp) =
        now < peer.changedAt.plusMilliseconds(CHANGE_REPEAT_MILLISECONDS)

    /** Returns the report that adds up [scope]. */
    fun write(scope: ReportScope, now: Timestamp) = PeerReport(
        sender = ownState(),
        catalog = catalogProof(age(view.catalogProof.at, now)),
        directory = ProofEntry(view.directoryDigest.toLong(), age(view.directoryProof.at, now)),
        loads = loadEntries(scope, now),
        reads = if (scope == ReportScope.FLEET) roundFleetReads else roundDomainReads,
        usage = if (isUsageDue) usageEntries(scope, now) else emptyList(),
        routers = if (topology.isMesh) routersToReport() else emptyList(),
        scope = scope.ordinal,
        relayed = if (scope == ReportScope.ROUTER) emptyList() else relayedRouters(scope, now),
        limits = limitEntries(now),
        crashes = quarantine.crashes(now),
        quarantine = quarantine.table { age(it, now) },
        evacuations = evacuations.table { age(it, now) },
        liveness = liveness(scope, now),
        mixedPools = mixedPools().map { MixedPoolEntry(it.pool.name, noteAge(it, now)) },
        era = era(now),
        directoryNews = if (topology.isMesh) null else directory.news(scope, now),
    )

    /** Returns a report of the loads of [scope] alone, which routers read like any other. */
    fun writeEarly(scope: ReportScope, now: Timestamp) = PeerReport(
        sender = ownState(),
        catalog = catalogProof(NO_AGE),
        directory = ProofEntry(view.directoryDigest.toLong(), NO_AGE),
        loads = loadEntries(scope, now),
        reads = emptyList(),
        routers = emptyList(),
        scope = scope.ordinal,
    )

    private fun catalogProof(age: Long): CatalogProofEntry {
        val mark = view.catalogMark
        val newest = view.newestMark.takeIf { it.isNewerThan(mark) }
        return CatalogProofEntry(CatalogMarkEntry.of(mark), age, newest?.let(CatalogMarkEntry::of))
    }

    private fun era(now: Timestamp): EraEntry? = view.history.era
        .takeIf { it != StoreEra.NONE }
        ?.let { EraEntry(it.number, view.history.ageMicroseconds(now)) }

    private fun noteAge(mixed: MixedPool, now: Timestamp): Long? =
        mixed.notedAt?.let { now.microsecondsSince(it) / Timestamp.MICROSECONDS_PER_MILLISECOND }

    private fun liveness(scope: ReportScope, now: Timestamp): ByteArray? {
        if (!isLivenessDue || scope == ReportScope.ROUTER) return null
        return PackedLiveness.pack(table.all, { isIncluded(scope, it) }, now)
    }

    private fun age(at: Timestamp, now: Timestamp): Long =
        now.microsecondsSince(at).let { if (it in 0..MAXIMUM_PROOF_AGE_MICROSECONDS) it else NO_AGE }

    private fun ownLoads(now: Timestamp): Map<Int, ServerLoad> {
        val loads = HashMap<Int, ServerLoad>()
        statistics.loads.localLoads.forEach { (id, load) ->
            view.directory.entries[id]?.let { loads[it.idHash] = load }
        }
        statistics.limits.limitedServers.forEach { id ->
            val sent = ServerLoad(recentRequests = statistics.limits.sentRequests(id, now))
            if (sent != ServerLoad.NONE) {
                view.directory.entries[id]?.let { loads.merge(it.idHash, sent, ServerLoad::plus) }
            }
        }
        return loads
    }

    private fun loadEntries(scope: ReportScope, now: Timestamp): List<LoadEntry> {
        val loads = loads(scope, now)
        reportedLoads[scope] = loads
        return loads.map { (server, load) ->
            LoadEntry(server, load.waitingTokens, load.running, load.recentRequests, load.committedTokens)
        }
    }

    private fun limitEntries(now: Timestamp): List<LimitEntry> =
        statistics.limits.recentChanges(now).take(MAXIMUM_LIMITS).map { record ->
            LimitEntry(
                server = record.server,
                startedAtMilliseconds = record.startedAtMilliseconds,
                requestsPerSecond = record.requestsPerSecond,
                age = now.microsecondsSince(record.heardAt) / Timestamp.MICROSECONDS_PER_MILLISECOND,
            )
        }

    /** The loads of [scope], as of the beginning of the round at [now], if there is one. */
    fun loads(scope: ReportScope, now: Timestamp): Map<Int, ServerLoad> {
        val own = if (now == roundAt) roundLoads else ownLoads(now)
        if (scope == ReportScope.ROUTER) return own
        val sums = HashMap(own)
        statistics.loads
            .reportedLoads(now) { isIncluded(scope, table.find(it)) }
            .forEach { (server, load) -> sums.merge(server, load, ServerLoad::plus) }
        return sums
    }

    private fun usageEntries(scope: ReportScope, now: Timestamp): List<UsageEntry> {
        val sums = if (scope == ReportScope.ROUTER) lastUsage else usage.sum(now) { isIncluded(scope, table.find(it)) }
        return sums.entries
            .sortedByDescending { it.value.requested }
            .take(MAXIMUM_TEAMS)
            .map { (team, sum) -> UsageEntry(team, sum.requested, sum.granted) }
    }

    private fun isIncluded(scope: ReportScope, peer: Peer?) =
        scope == ReportScope.FLEET || (peer != null && topology.isInOwnDomain(peer))

    /** Returns a few live routers per report, in rotation, so that every router soon learns of all others. */
    private fun routersToReport(): List<RouterEntry> {
        val alive = table.alive
        if (alive.isEmpty()) return emptyList()
        return List(minOf(REPORTED_ROUTERS, alive.size)) {
            val peer = alive[routerCursor++ % alive.size]
            RouterEntry(peer.router.name, peer.address.host, peer.address.port)
        }
    }

    /** Returns the routers that changed recently, then some of the others in rotation. */
    private fun relayedRouters(scope: ReportScope, now: Timestamp): List<RelayedRouter> {
        val covered = table.all.filter { isIncluded(scope, it) && it.incarnation != null }
        val (changed, unchanged) = covered.partition { isChanged(it, now) }
        val alive = unchanged.filter { it.isAlive }
        val cursor = relayedCursors[scope.ordinal]
        val rotated = List(minOf(RELAYED_ROUTERS, alive.size)) { alive[(cursor + it) % alive.size] }
        relayedCursors[scope.ordinal] = cursor + rotated.size
        return (changed.take(MAXIMUM_CHANGED_ROUTERS) + rotated).mapNotNull { relayed(it, now) }
    }

    private fun relayed(peer: Peer, now: Timestamp): RelayedRouter? {
        val caller = peer.callerAddress ?: return null
        val state =
            RouterState(
                router = peer.router.name,
                incarnation = peer.incarnation?.value ?: return null,
                failureDomain = peer.failureDomain?.name ?: return null,
                callerHost = caller.host,
                callerPort = caller.port,
                weight = peer.weight,
                isReady = peer.isReady,
                isOverloaded = peer.isOverloaded,
                spareQuarters = peer.spareQuarters,
            )
        return RelayedRouter(
            state = state,
            host = peer.address.host,
            peerPort = peer.address.port,
            isAlive = peer.isAlive,
            age =
                now.microsecondsSince(if (peer.isAlive) peer.describedAt else peer.lastHeardAt) /
                    Timestamp.MICROSECONDS_PER_MILLISECOND,
        )
    }

    companion object {
        /** Older proofs are not sent, since no freshness bound would accept them. */
        const val MAXIMUM_PROOF_AGE_MICROSECONDS = 10_000_000L
        private const val NO_AGE = -1L
        private const val REPORTED_ROUTERS = 2
        private const val RELAYED_ROUTERS = 8
        private const val MAXIMUM_CHANGED_ROUTERS = 12
        private const val MAXIMUM_LIMITS = 16

        /** Teams of which a report gives the usage: those that request most contend for capacity. */
        private const val MAXIMUM_TEAMS = 128

        /** A change is in several reports, since a datagram may be lost. */
        private const val CHANGE_REPEAT_MILLISECONDS = 700L

        /** Several times within the silence that is tolerated, so that a lost datagram does not matter. */
        private const val LIVENESS_MILLISECONDS = 1_000L
        private const val URGENT_LIVENESS_MILLISECONDS = 400L
    }
}
