package azuredale.gateway

import azuredale.admission.FairShares
import azuredale.admission.LoadShedder
import azuredale.admission.PromptAdmission
import azuredale.catalog.HomeRegions
import azuredale.directory.BackendEntry
import azuredale.engine.ServerSelector
import azuredale.engine.ServerStatistics
import azuredale.explain.ExplainEndpoint
import azuredale.explain.RoutingExplainer
import azuredale.freshness.StoreView
import azuredale.identity.NetworkAddress
import azuredale.intake.Intake
import azuredale.intake.RouterWork
import azuredale.logging.BoundedAppender
import azuredale.logging.EventLog
import azuredale.outcome.Failure
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlin.random.Random

/**
 * The request handling and coordination logic of one router on the platform.
 *
 * All functions must be called from one thread. Sockets, clocks and timers are injected, so tests control them.
 */
internal class Gateway(
    private val settings: GatewaySettings,
    private val clock: Clock,
    wallClock: Clock,
    private val dependencies: GatewayDependencies,
    private val scope: CoroutineScope,
    private val random: Random = Random.Default,
) {
    private val log = EventLog("azuredale.gateway")

    /** Metrics of this router. */
    val metrics = GatewayMetrics()

    /** The planned stop of this router. */
    val gracefulStop = GracefulStop(settings.bounds)
    private val handlers = LinkedHashSet<RequestHandler>()

    /** Number of requests in progress. */
    val running: Int get() = handlers.size

    /** Whether a graceful stop has begun. */
    val isStopping: Boolean get() = gracefulStop.isBegun

    private val fleet =
        FleetCoordination(settings, clock, wallClock, dependencies, scope, metrics, gracefulStop, log, random)

    /** Local copy of the store's tables. */
    val view: StoreView get() = fleet.view

    /** Runtime state of the backend servers. */
    val statistics: ServerStatistics get() = fleet.statistics
    private val exchange = fleet.exchange
    private val capacity = fleet.capacity

    /** Recent token usage of the teams. */
    val usage = fleet.usage
    private val shares = FairShares(usage)
    private val homeRegions = HomeRegions(settings.regions.values.toSet())
    private val routerAddresses =
        RouterAddresses(
            settings = settings,
            peers = exchange.peers,
            isReady = ::isReady,
            isOverloaded = { capacity.isOverloaded(clock()) },
            spareQuarters = { capacity.spareQuarters },
            homes = HomeRouters(homeRegions, { view.catalog }, settings.regions::get),
        )
    private val relief = CrowdRelief(log, routerAddresses::hasRoomElsewhere)
    private val intake = Intake(clock) { at, action -> dependencies.timer(at, action) }
    private val authorizer =
        RequestAuthorizer(
            catalog = { view.catalog },
            isFresh = fleet::isCatalogFresh,
            isClosed = gracefulStop::isClosed,
            homes = homeRegions,
            isCurrent = fleet::isCatalogCurrent,
        )
    private val memoryPlan = MemoryPlan(settings.memoryBytes, Runtime.getRuntime().maxMemory())

    /** Connections that callers may have open. */
    val maximumCallerConnections: Int = minOf(settings.maximumCallerConnections, memoryPlan.connections)
    private val requestBodies = RequestBodyBudget(memoryPlan.bodyBytes, dependencies.timer)
    private val selector =
        ServerSelector(
            directory = { view.directory },
            statistics = statistics,
            isEvacuated = view.evacuations::isEvacuated,
            regionOf = settings.regions::get,
            weighsPrefixes = settings.weighsPrefixes,
        )
    private val loadLog = RouterLoadLog(log)
    private val context =
        GatewayContext(
            settings = settings,
            clock = clock,
            authorizer = authorizer,
            selector = selector,
            admission =
                RequestAdmission(
                    intake = intake,
                    prompts = PromptAdmission(usage, LoadShedder(shares, random::nextDouble)),
                    quarantine = PromptQuarantine(fleet.quarantine, fleet.serverEnds, fleet.keeper::claimTrial),
                    sendGuard =
                        SendGuard(
                            authorizer = authorizer,
                            mayUse = selector::mayUse,
                            directoryFault = fleet::directoryFault,
                        ),
                    gracefulStop = gracefulStop,
                    resumption = fleet.resumption,
                    memoryLog = fleet.memoryLog,
                    random = random::nextDouble,
                ),
            recorders =
                AttemptRecorders(
                    statistics,
                    tokensPerEvent = {
                        view.catalog
                            ?.pool(it)
                            ?.engine
                            ?.tokensPerEvent ?: 1
                    },
                    onAnswered = fleet.quarantine::recordAnswer,
                    onSent = { server, parts -> exchange.promptSent(server.idHash, parts, clock()) },
                    onExcluded = { log.write(GatewayLogEvent.SERVER_EXCLUDED, "server" to it.server.id) },
                    onLoadsUsed = { asOf, now ->
                        metrics.recordLoadAge(asOf, now)
                        loadLog.recordLoadsUsed(asOf, now)
                    },
                ),
            budgets =
                RequestBudgets(
                    retries = FleetRetryBudget(settings.bounds) { exchange.peers.recentFleetSize() },
                    responseBuffers = ResponseBufferBudget(memoryPlan.responseBytes),
                    requestBodies = requestBodies,
                ),
            backends = dependencies.backends,
            failureHeaders = dependencies.failureHeaders,
            loadLogs = LoadLogs(ShareLog(shares, usage, { view.catalog }, log), loadLog),
            metrics = metrics,
            log = log,
            timer = dependencies.timer,
        )

    /** Answers of this router to operators who ask where a request would go. */
    val explanations = ExplainEndpoint(RoutingExplainer(context, view, statistics), clock) { intake.waiting > 0 }
    private val unreadRequests = UnreadRequests(intake, capacity, metrics, loadLog, log, clock, random::nextDouble)
    private val prefixLog = PrefixLog(statistics.prefixes, log)
    private val serviceLog = ServiceLog({ view.catalog }, { view.directory }, statistics, log)

    /** Starts registering this router and reading the store. */
    fun start() {
        exposeMetrics()
        prefixLog.expose(metrics)
        serviceLog.expose(metrics, clock)
        log.write(
            GatewayLogEvent.GATEWAY_STARTED,
            "router" to settings.router,
            "incarnation" to fleet.incarnation,
            "memory" to settings.memoryBytes,
            "heap" to Runtime.getRuntime().maxMemory(),
            "bodies" to memoryPlan.bodyBytes,
            "connections" to maximumCallerConnections,
        )
        fleet.start()
        tick()
    }

    /** Runs periodic work that is due; called every few milliseconds. */
    fun tick() {
        val now = clock()
        val lag = intake.lagMicroseconds(now) / Timestamp.MICROSECONDS_PER_MILLISECOND
        capacity.record(work(lag), now)
        relief.update(isCrowded = capacity.spareQuarters == 0, now)
        fleet.tick(lag, now)
        loadLog.tick(
            lagMilliseconds = lag,
            running = running,
            spareQuarters = capacity.spareQuarters,
            knownRouters = exchange.peers.all.size + 1,
            directoryAge = fleet.poller.directoryAgeMilliseconds(now),
            earlyReports = exchange.earlyRounds,
            now = now,
        )
        prefixLog.tick(now)
        serviceLog.tick(now)
        intake.recordTick(nextAt = clock().plusMilliseconds(TICK_MILLISECONDS))
    }

    /** Handles a datagram from another router. */
    fun datagramReceived(from: NetworkAddress, bytes: ByteArray) = fleet.datagramReceived(from, bytes)

    /** Handles the head of any response of [server]. */
    fun serverAnswered(server: BackendEntry, head: ResponseHead) = fleet.serverAnswered(server, head)

    /**
     * Returns the failure for a request that could not start in time, before the rest of it is decoded; otherwise null.
     *
     * @param request decodes only what is read of it, which is nothing while no requests wait.
     */
    fun refusal(request: RequestPreview): Failure? = unreadRequests.refusal(request)

    /** Handles a request of a caller. */
    fun serve(caller: Caller) {
        loadLog.recordRequest()
        val handler = RequestHandler(caller, context)
        handlers += handler
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                handler.run()
            } catch (failure: Exception) {
                log.write(GatewayLogEvent.REQUEST_FAILED, "request" to caller.head.id, cause = failure)
                caller.abort()
            } finally {
                handlers -= handler
            }
        }
    }

    /** Whether this router accepts requests. */
    fun isReady(): Boolean = fleet.isReady()

    /** Whether the platform and callers should find this router ready; a crowded one may send its callers elsewhere. */
    fun isOpen(): Boolean = isReady() && !relief.isWithheld

    private fun work(lagMilliseconds: Long) = RouterWork(
        lagMilliseconds = lagMilliseconds,
        waiting = intake.waiting,
        running = running,
        connections = dependencies.openCallerConnections().toDouble() / maximumCallerConnections,
    )

    /** Addresses of routers for [caller], and the seconds for which they may be cached. */
    fun addresses(caller: AddressCaller): Pair<List<NetworkAddress>, Double> =
        routerAddresses.addresses(caller).also { loadLog.recordAddressAnswer(caller, it.first.size) }

    /** Begins a graceful stop and notifies the other routers at once. */
    fun stop() {
        if (!gracefulStop.begin(clock())) return
        log.write(GatewayLogEvent.GATEWAY_STOPPING, "running" to running)
        exchange.report(clock())
    }

    /** Whether the graceful stop is over: no request is in progress and no caller knows this router any more. */
    fun hasStopped(now: Timestamp): Boolean = gracefulStop.isClosed(now) && running == 0

    /** Gives up the requests that are still in progress at the end of a graceful stop; each of them gets an answer. */
    fun endRequests() = handlers.toList().forEach { it.routerStopped() }

    private fun exposeMetrics() {
        metrics.gauge("ready") { if (isReady()) 1.0 else 0.0 }
        metrics.gauge("readiness.withheld") { if (relief.isWithheld) 1.0 else 0.0 }
        metrics.gauge("requests.waiting") { intake.waiting.toDouble() }
        metrics.gauge("capacity.spare.quarters") { capacity.spareQuarters.toDouble() }
        metrics.gauge("requests.running") { running.toDouble() }
        metrics.gauge("team.share.gap") { shares.current(clock()).gap }
        metrics.gauge("prompt.parts.quarantined") { fleet.quarantine.size.toDouble() }
        metrics.exposeServers(view, statistics, clock)
        metrics.exposeExchange(exchange)
        metrics.exposeBodies(requestBodies)
        metrics.exposeMemory(memoryPlan, maximumCallerConnections)
        fleet.memoryLog.expose(metrics, { view.directory }, clock)
        metrics.gauge("log.lines.dropped") { BoundedAppender.droppedLines.toDouble() }
    }

    companion object {
        /** Interval of the check for periodic work; at most the shortest period of reports between routers. */
        const val TICK_MILLISECONDS = 20L
    }
}
