package azuredale.gateway

import azuredale.admission.TeamUsage
import azuredale.directory.BackendEntry
import azuredale.engine.ColdLimit
import azuredale.engine.ColdServerFleet
import azuredale.engine.ColdServers
import azuredale.engine.ServerStatistics
import azuredale.freshness.ClockJumpDetector
import azuredale.freshness.EraKeeper
import azuredale.freshness.FirstReadDelay
import azuredale.freshness.StoreHistory
import azuredale.freshness.StoreView
import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.peers.LoadUrgency
import azuredale.peers.Peer
import azuredale.peers.PeerCallbacks
import azuredale.peers.PeerExchange
import azuredale.quarantine.Quarantine
import azuredale.quarantine.QuarantineCallbacks
import azuredale.quarantine.QuarantineKeeper
import azuredale.quarantine.QuarantineLogEvent
import azuredale.quarantine.ServerEnd
import azuredale.resumption.OriginExchange
import azuredale.resumption.PoolVersions
import azuredale.resumption.StreamOrigins
import azuredale.resumption.StreamResumption
import azuredale.resumption.VersionNoteKeeper
import azuredale.sharing.StableHash
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * What one router knows of the fleet, the servers and the store, and the exchanges that keep it up to date.
 *
 * @param gracefulStop the planned stop of this router, after whose begin it is not ready any more.
 */
internal class FleetCoordination(
    private val settings: GatewaySettings,
    private val clock: Clock,
    wallClock: Clock,
    private val dependencies: GatewayDependencies,
    private val scope: CoroutineScope,
    private val metrics: GatewayMetrics,
    private val gracefulStop: GracefulStop,
    private val log: EventLog,
    random: Random,
) {
    private val firstReads = FirstReadDelay(clock(), StableHash.of(settings.router.name))

    /** Declared memory of the registered servers. */
    private var cacheTokens: Map<ServerId, Long> = emptyMap()

    /** Change of the wait at an engine that callers notice, null without routes to engines. */
    private var noticeableMilliseconds: Double? = null
    private val clockJumps = ClockJumpDetector(clock, wallClock)
    private var clockJumpedAt = Timestamp.DISTANT_PAST
    private var directoryRead: Job? = null

    /** Identifies this process of the router among earlier ones. */
    val incarnation = Incarnation(clock().microseconds)

    /** Local copy of the store's tables. */
    val view =
        StoreView(
            bounds = settings.bounds,
            history = StoreHistory(clock().takeIf { settings.isFirstStart }, settings.bounds.contactMilliseconds),
            onEvacuationChange = ::evacuationsChanged,
        )

    /** Runtime state of the backend servers. */
    val statistics =
        ServerStatistics(
            routers = { exchange.peers.recentFleetSize() },
            random = random::nextDouble,
            onLimitChange = { server, requestsPerSecond ->
                log.write(GatewayLogEvent.SERVER_LIMITED, "server" to server, "requestsPerSecond" to requestsPerSecond)
                exchange.reportSoon(clock())
            },
            reportDelayMilliseconds = { exchange.reportDelayMilliseconds() },
            freeTokens = ::freeTokens,
            coldServers = settings.bounds.coldFactor?.let { ::coldServers },
            cacheTokens = { cacheTokens[it] ?: DEFAULT_CACHE_TOKENS },
        )

    /** Recent token usage of the teams. */
    val usage = TeamUsage()

    /** Prompt parts that crash servers. */
    val quarantine =
        Quarantine(
            QuarantineCallbacks(
                onNews = { exchange.reportSoon(clock()) },
                onChange = { part, isQuarantined, reason ->
                    val event =
                        if (isQuarantined) QuarantineLogEvent.PART_QUARANTINED else QuarantineLogEvent.PART_RELEASED
                    log.write(event, "part" to part, "reason" to reason)
                },
            ),
        )

    /** What the servers' memory did to requests. */
    val memoryLog = MemoryLog(statistics.memory, log)

    /** Servers whose process may have ended. */
    val serverEnds =
        ServerEndDetector(clock, dependencies.timer, dependencies.probe) { server, prompts ->
            log.write(
                QuarantineLogEvent.SERVER_ENDED,
                "server" to server.id,
                "address" to server.address,
                "unanswered" to prompts.size,
            )
            metrics.recordServerEnd()
            statistics.cache.clear(server.id)
            memoryLog.recordServerEnd(server, clock())
            quarantine.recordCrash(ServerEnd.of(server), prompts, clock())
        }

    /** Reports to and from the other routers. */
    val exchange: PeerExchange =
        PeerExchange(
            settings = settings,
            incarnation = incarnation,
            view = view,
            statistics = statistics,
            usage = usage,
            quarantine = quarantine,
            callbacks =
                PeerCallbacks(
                    send = dependencies.sendDatagram,
                    onPeerChanged = ::peerChanged,
                    onOutdated = { isCatalogOld, isDirectoryOld -> poller.markOutdated(isCatalogOld, isDirectoryOld) },
                    onDirectoryLearned = { directory, provenAt -> poller.directoryLearned(directory, provenAt) },
                    onRefused = ::messageRefused,
                    onEra = { era, now -> poller.eraNamed(era, now) },
                    mixedPools = { resumption.mixedPools() },
                    onMixedPools = { pools, now -> resumption.reported(pools, now) },
                ),
            isReady = { isReady() },
            isOverloaded = { capacity.isOverloaded(clock()) },
            spareQuarters = { capacity.spareQuarters },
            noticeableMilliseconds = { noticeableMilliseconds },
        )

    /** Where broken streams may go on. */
    val resumption: StreamResumption = streamResumption()

    /** Reads of the store. */
    val poller: StorePoller =
        StorePoller(
            view = view,
            storeReader = dependencies.storeReader,
            clock = clock,
            rank = exchange::rank,
            changeDelayMilliseconds = exchange::changeDelayMilliseconds,
            isHeld = ::isHeld,
            log = log,
            onChange = ::storeChanged,
            onProof = { exchange.proofRenewed(clock()) },
            onEra = ::eraBegun,
        )
    private val registrar =
        RouterRegistrar(
            own = RegisteredRouter(settings.router, settings.peerAddress),
            registry = dependencies.registry,
            clock = clock,
            log = log,
            onFound = { exchange.routerDiscovered(it.router, it.address, clock()) },
            onListed = { firstReads.recordListed(clock()) },
        )

    /** Quarantine in the store. */
    val keeper =
        QuarantineKeeper(
            quarantine = quarantine,
            store = dependencies.quarantineStore,
            clock = clock,
            scope = scope,
            rank = exchange::rank,
            isDivided = { exchange.peers.all.any { !it.isAlive } },
            log = log,
        )

    private val eraKeeper =
        EraKeeper(
            history = view.history,
            notes = dependencies.eraNotes,
            clock = clock,
            scope = scope,
            rank = exchange::rank,
            log = log,
        )

    /** What this router still bears. */
    val capacity = RouterCapacity(settings.weight, log) { exchange.reportSoon(clock()) }

    /** Starts registering this router. */
    fun start() {
        scope.launch(start = CoroutineStart.UNDISPATCHED) { registrar.run() }
    }

    /** Runs periodic work that is due; [lag] is how many milliseconds this router is late. */
    fun tick(lag: Long, now: Timestamp) {
        checkClocks()
        poller.tick(lag, now)
        poller.logFreshnessChange(now)
        if (poller.isCatalogDue(now)) scope.launch(start = CoroutineStart.UNDISPATCHED) { poller.readCatalog() }
        if (poller.isDirectoryDue(now)) scope.launch(start = CoroutineStart.UNDISPATCHED) { poller.readDirectory() }
        if (!isHeld(now)) keeper.tick(now)
        eraKeeper.tick(now)
        resumption.tick(now)
        exchange.tick(now)
    }

    /** Handles a datagram from another router. */
    fun datagramReceived(from: NetworkAddress, bytes: ByteArray) {
        checkClocks()
        if (!resumption.isMessage(bytes)) return exchange.received(from, bytes, clock())
        if (!resumption.messageReceived(from, bytes)) messageRefused(from, bytes)
    }

    private fun messageRefused(from: NetworkAddress, bytes: ByteArray) =
        log.write(GatewayLogEvent.PEER_MESSAGE_REFUSED, "from" to from, "bytes" to bytes.size)

    /** Handles the head of any response of [server]. */
    fun serverAnswered(server: BackendEntry, head: ResponseHead) {
        if (head.isLeaving && statistics.announcements.recordLeaving(server)) {
            statistics.cache.clear(server.id)
            log.write(GatewayLogEvent.SERVER_LEAVING, "server" to server.id, "address" to server.address)
        }
        val hold = head.retryAfterMilliseconds ?: return
        if (statistics.announcements.recordHold(server, hold, clock())) {
            log.write(GatewayLogEvent.SERVER_ON_HOLD, "server" to server.id, "milliseconds" to hold)
        }
    }

    /** Whether this router accepts requests. */
    fun isReady(): Boolean = !gracefulStop.isBegun &&
        view.catalog != null &&
        quarantine.isKnown &&
        view.evacuations.isKnown &&
        isCatalogFresh(clock())

    /** Whether the catalog is proven to be recent enough for decisions. */
    fun isCatalogFresh(now: Timestamp): Boolean {
        checkClocks()
        return view.isCatalogFresh(now)
    }

    /** Why this router does not know which servers may be used, see [StorePoller.directoryFault]. */
    fun directoryFault(now: Timestamp): String? {
        checkClocks()
        return poller.directoryFault(now)
    }

    /** Whether the catalog shows every change that is due. */
    fun isCatalogCurrent(now: Timestamp): Boolean {
        checkClocks()
        return view.isCatalogCurrent(now)
    }

    private fun isHeld(now: Timestamp): Boolean = firstReads.isHeld(now, exchange.isMesh)

    private fun checkClocks() {
        if (!clockJumps.hasJumped()) return
        clockJumpedAt = clock()
        log.write(GatewayLogEvent.CLOCK_JUMPED)
        view.invalidateProofs()
    }

    private fun storeChanged(isCatalogNew: Boolean) {
        cacheTokens = view.directory.entries.mapValues { declaredTokens(it.value.pool) }
        noticeableMilliseconds = view.catalog?.let(LoadUrgency::noticeableMilliseconds)
        statistics.updateDirectory(view.directory, clock())
        resumption.directoryChanged(view.directory, clock())
        dependencies.onChange()
        if (isCatalogNew) exchange.report(clock())
    }

    private fun eraBegun() {
        registrar.registerAgain()
        keeper.readAgain()
        resumption.storeReturned()
        exchange.reportSoon(clock())
    }

    private fun evacuationsChanged(before: Set<FailureDomain>, after: Set<FailureDomain>) {
        (after - before).forEach { log.write(GatewayLogEvent.DOMAIN_EVACUATED, "domain" to it) }
        (before - after).forEach { log.write(GatewayLogEvent.EVACUATION_ENDED, "domain" to it) }
        exchange.reportSoon(clock())
    }

    private fun peerChanged(peer: Peer) {
        val event = if (peer.isAlive) GatewayLogEvent.PEER_FOUND else GatewayLogEvent.PEER_LOST
        log.write(event, "router" to peer.router, "address" to peer.address, "incarnation" to peer.incarnation)
    }

    private fun streamResumption(): StreamResumption {
        val versions = PoolVersions(announcementMilliseconds = settings.bounds.drainBoundMilliseconds)
        val origins = StreamOrigins()
        val peers = { exchange.peers.all }
        val originExchange = OriginExchange(origins, peers, dependencies.sendDatagram, dependencies.timer, clock)
        val notes = VersionNoteKeeper(versions, dependencies.versionNotes, clock, scope, ::rank, log)
        return StreamResumption(versions, origins, originExchange, notes, log, clock, ::isInStep, ::catchUp)
    }

    /**
     * Whether this router knows of each server that was registered before others may use it for new streams.
     *
     * While the store answers nobody, no router reads of new servers. What others can read and this router cannot is in
     * their reports, so all that were known when the directory was last proven must have reported. A copy of the store
     * may lack servers, and notes of mixed pools, until its era is settled.
     */
    private fun isInStep(): Boolean {
        checkClocks()
        val now = clock()
        if (!view.history.isSettled(now)) return false
        if (view.isDirectoryFresh(now)) return true
        val since = now.plusMilliseconds(-StoreView.drainMilliseconds(settings.bounds))
        return poller.isStoreUnavailable &&
            exchange.peers.haveAllReported(knownAt = view.directoryProof.at, since = maxOf(since, clockJumpedAt))
    }

    /**
     * As [isInStep], and reads the directory if it may be older than a stream that has broken by now.
     *
     * When all servers of a pool are replaced at once, streams begin at the new version without waiting for other
     * routers; those that hear from each other know of it with the next report.
     */
    private suspend fun catchUp(): Boolean {
        if (!isInStep()) return false
        val since = maxOf(clock().plusMilliseconds(-RECENT_MILLISECONDS), clockJumpedAt)
        val isRecent = { view.directoryProof.at >= since }
        if (isRecent() || exchange.peers.haveAllReported(knownAt = view.directoryProof.at, since)) return true
        withTimeoutOrNull(RECENT_MILLISECONDS) { readDirectoryOnce() }
        return isRecent()
    }

    /** Reads the directory, or waits for such a read that is in progress. */
    private suspend fun readDirectoryOnce() {
        val read =
            directoryRead?.takeIf { it.isActive }
                ?: scope.launch(start = CoroutineStart.UNDISPATCHED) { poller.readDirectory() }.also {
                    directoryRead =
                        it
                }
        read.join()
    }

    private fun rank(): Int = exchange.rank()

    private fun coldServers(onWarm: (ServerId) -> Unit) = ColdServers(
        fleet = ColdServerFleet(settings.router) { exchange.peers.routers },
        usableFrom = clock().plusMilliseconds(ColdServers.START_MILLISECONDS),
        limitOf = { id -> view.catalog?.pool(id)?.let { ColdLimit.of(it, settings.bounds) } },
        onWarm = onWarm,
    )

    private fun freeTokens(server: ServerId): Long? =
        view.directory.entries[server]?.let { statistics.memory.tokensForKeptParts(it, clock()) }

    private fun declaredTokens(pool: PoolId): Long = view.catalog
        ?.pool(pool)
        ?.engine
        ?.cacheTokens ?: DEFAULT_CACHE_TOKENS

    private companion object {
        /** For pools without a declared cache size; plain services cache no prompts. */
        const val DEFAULT_CACHE_TOKENS = 0L

        /** Several periods of reports in a mesh, and less than a stream takes to begin, break and be taken up again. */
        const val RECENT_MILLISECONDS = 300L
    }
}
