package azuredale.gateway

import azuredale.admission.OverloadAdmission
import azuredale.admission.PromptAdmission
import azuredale.admission.TeamUsage
import azuredale.engine.EngineBook
import azuredale.engine.ServerChooser
import azuredale.freshness.PlatformReads
import azuredale.freshness.SteadyTime
import azuredale.freshness.StoreView
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.logging.BoundedAppender
import azuredale.logging.EventLog
import azuredale.peers.Peer
import azuredale.peers.PeerCallbacks
import azuredale.peers.PeerExchange
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlin.random.Random

/** What a [Gateway] needs of the world around it. */
internal class GatewayLinks(
    val reads: PlatformReads,
    val registry: Registry,
    val backends: Backends,
    val format: AnswerFormat,
    /** Sends a datagram to another router. */
    val sendDatagram: (NetworkAddress, ByteArray) -> Unit,
    /** Calls an action at a time. */
    val timer: (Timestamp, () -> Unit) -> Timer,
    /** Hears of new servers and limits. */
    val changed: () -> Unit,
)

/**
 * The decisions of one router on the platform, wired to each other.
 *
 * All functions are called from one thread. Sockets, clocks and timers come in as functions, so tests drive a gateway
 * by hand.
 */
internal class Gateway(
    private val settings: GatewaySettings,
    private val clock: Clock,
    timeOfDay: Clock,
    private val links: GatewayLinks,
    private val scope: CoroutineScope,
    private val random: Random = Random.Default,
) {
    private val log = EventLog("azuredale.gateway")
    private val steady = SteadyTime(clock, timeOfDay)
    private val incarnation = Incarnation(clock().microseconds)

    /** What this router believes of the store. */
    val view = StoreView(settings.bounds.revocationBound)

    /** What it knows of the servers. */
    val book = EngineBook { id -> view.directory.entries[id]?.let { cacheTokens(it.pool) } ?: DEFAULT_CACHE_TOKENS }

    /** What teams asked for and were given lately. */
    private val usage = TeamUsage()

    /** Counters and histograms. */
    val metrics = GatewayMetrics()

    /** Requests in progress. */
    var running: Int = 0
        private set

    private var stoppingSince: Timestamp? = null

    /** Whether a planned stop has begun. */
    val isStopping: Boolean get() = stoppingSince != null

    private val exchange =
        PeerExchange(
            settings = settings,
            incarnation = incarnation,
            view = view,
            book = book,
            usage = usage,
            callbacks =
                PeerCallbacks(
                    send = links.sendDatagram,
                    onPeerChanged = ::peerChanged,
                    onOutdated = { isCatalogOld, isDirectoryOld -> follower.outdated(isCatalogOld, isDirectoryOld) },
                    onRefused = { log.write(GatewayLogEvent.PEER_MESSAGE_REFUSED, "from" to it) },
                ),
            isReady = { isReady() },
        )
    private val follower: StoreFollower =
        StoreFollower(view, links.reads, clock, exchange::rank, log) { storeChanged(it) }
    private val presence =
        RouterPresence(
            own = Registered(settings.router, settings.peerAddress),
            registry = links.registry,
            clock = clock,
            log = log,
            found = { exchange.routerDiscovered(it.router, it.address, clock()) },
        )
    private val addressAnswer = AddressAnswer(settings, exchange.peers) { isReady() }
    private val context =
        GatewayContext(
            settings = settings,
            clock = clock,
            admission = RequestAdmission({ view.catalog }, ::isCatalogFresh, ::isClosed),
            chooser = ServerChooser({ view.directory }, book),
            prompts = PromptAdmission(usage, OverloadAdmission(usage, random::nextDouble)),
            ledger =
                Ledgers(
                    book,
                    onSent = { server, parts -> exchange.promptSent(server.number, parts) },
                    onExcluded = { log.write(GatewayLogEvent.SERVER_EXCLUDED, "server" to it.server.id) },
                ),
            retries = RetryAllowance(settings.bounds) { exchange.peers.recentFleetSize() },
            backends = links.backends,
            format = links.format,
            metrics = metrics,
            log = log,
            timer = links.timer,
        )

    /** Begins to register and to follow the store. */
    fun start() {
        exposeMetrics()
        log.write(GatewayLogEvent.GATEWAY_STARTED, "router" to settings.router, "incarnation" to incarnation)
        scope.launch(start = CoroutineStart.UNDISPATCHED) { presence.run() }
        tick()
    }

    /** Does what is due; called every few milliseconds. */
    fun tick() {
        val now = clock()
        checkClocks()
        follower.noteFreshness(now)
        if (follower.isCatalogDue(now)) scope.launch(start = CoroutineStart.UNDISPATCHED) { follower.readCatalog() }
        if (follower.isDirectoryDue(now)) scope.launch(start = CoroutineStart.UNDISPATCHED) { follower.readDirectory() }
        exchange.tick(now)
    }

    /** Takes a datagram of another router. */
    fun datagramReceived(from: NetworkAddress, bytes: ByteArray) {
        checkClocks()
        exchange.received(from, bytes, clock())
    }

    /** Serves a request of a caller. */
    fun serve(caller: Caller) {
        running++
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                RequestRun(caller, context).run()
            } catch (failure: Exception) {
                log.write(GatewayLogEvent.REQUEST_FAILED, "request" to caller.head.id, cause = failure)
                caller.abort()
            } finally {
                running--
            }
        }
    }

    /** Whether this router takes requests. */
    fun isReady(): Boolean = !isStopping && view.catalog != null && isCatalogFresh(clock())

    /** Routers to name to callers. */
    fun addresses(): Pair<List<NetworkAddress>, Double> = addressAnswer.addresses()

    /** Begins a planned stop: other routers and callers hear of it at once. */
    fun stop() {
        if (isStopping) return
        stoppingSince = clock()
        log.write(GatewayLogEvent.GATEWAY_STOPPING, "running" to running)
        exchange.report(clock())
    }

    /** Whether the planned stop is so far that callers hold no address of this router any more. */
    fun isClosed(now: Timestamp): Boolean =
        stoppingSince?.let { now >= it.plusMilliseconds(CLOSING_MILLISECONDS) } == true

    private fun isCatalogFresh(now: Timestamp): Boolean {
        checkClocks()
        return view.isCatalogFresh(now)
    }

    private fun checkClocks() {
        if (!steady.hasJumped()) return
        log.write(GatewayLogEvent.CLOCK_JUMPED)
        view.distrust()
    }

    private fun storeChanged(isCatalogNew: Boolean) {
        book.directoryChanged(view.directory)
        links.changed()
        if (isCatalogNew) exchange.report(clock())
    }

    private fun peerChanged(peer: Peer) {
        val event = if (peer.isAlive) GatewayLogEvent.PEER_FOUND else GatewayLogEvent.PEER_LOST
        log.write(event, "router" to peer.router, "address" to peer.address, "incarnation" to peer.incarnation)
    }

    private fun cacheTokens(pool: PoolId): Long = view.catalog
        ?.pool(pool)
        ?.engine
        ?.cacheTokens ?: DEFAULT_CACHE_TOKENS

    private fun exposeMetrics() {
        metrics.gauge("ready") { if (isReady()) 1.0 else 0.0 }
        metrics.gauge("requests.running") { running.toDouble() }
        metrics.gauge("routers.alive") { exchange.peers.alive.size + 1.0 }
        metrics.gauge("catalog.revision") { view.revision.value.toDouble() }
        metrics.gauge(
            "servers.ready",
        ) {
            view.directory.entries.values
                .count { view.directory.isReady(it.id) }
                .toDouble()
        }
        metrics.gauge("log.lines.dropped") { BoundedAppender.droppedLines.toDouble() }
        metrics.gauge("datagrams.sent") { exchange.datagramsSent.toDouble() }
        metrics.gauge("datagram.bytes.sent") { exchange.bytesSent.toDouble() }
    }

    private companion object {
        /**
         * Some callers keep an address answer of one second for three; a request that arrives later may not end within
         * the grace period, so it is sent to another router.
         */
        const val CLOSING_MILLISECONDS = 2_700L

        /** For servers of pools that declare no memory; plain services cache no prompts. */
        const val DEFAULT_CACHE_TOKENS = 0L
    }
}
