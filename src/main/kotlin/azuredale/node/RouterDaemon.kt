package azuredale.node

import azuredale.blackboard.WorkerPool
import azuredale.configuration.AcceptedDocument
import azuredale.configuration.DocumentSource
import azuredale.configuration.DocumentSubmitter
import azuredale.configuration.RouterSettings
import azuredale.configuration.SubmissionResult
import azuredale.console.OperatorHttpServer
import azuredale.console.RouterOperations
import azuredale.console.Submission
import azuredale.identity.Incarnation
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.membership.MemberState
import azuredale.membership.ProbeSocket
import azuredale.outcome.KeyClaimer
import azuredale.platform.StoreClient
import azuredale.platform.VirtualMachineListClient
import azuredale.platform.VirtualMachineListResult
import azuredale.routing.AddressPlanner
import azuredale.routing.EdgeSettings
import azuredale.routing.EnginePoller
import azuredale.routing.HttpEdge
import azuredale.store.CallRateLimiter
import azuredale.time.Clock
import azuredale.time.systemClock
import azuredale.transport.PeerTransport
import azuredale.transport.TransportHandlers
import io.vertx.core.Vertx
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.UUID
import kotlin.random.Random

/**
 * One router process: sockets, workers and timers around a [RouterNode].
 *
 * ```
 * val daemon = RouterDaemon(settings, Vertx.vertx())
 * daemon.start()
 * daemon.drain()
 * daemon.awaitDrained()
 * daemon.stop()
 * ```
 */
public class RouterDaemon(
    private val settings: RouterSettings,
    private val vertx: Vertx,
    private val clock: Clock = systemClock(),
    random: Random = Random.Default,
) {
    private val log = EventLog("azuredale.node")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = Incarnation(clock().microseconds)
    private val drained = CompletableDeferred<Unit>()

    private val metrics = RouterMetrics()

    /** Decision logic of this router. */
    public val node: RouterNode = RouterNode(settings, incarnation, random, onRequestEnded = metrics::requestEnded)

    private val workers =
        WorkerPool<NodeEvent>(
            workers = settings.workers,
            capacity = EVENT_QUEUE_CAPACITY,
            keyOf = { RouterNode.orderingKey(it).ordinal },
            handle = ::handle,
            onFailure = { event, failure ->
                log.write(NodeLogEvent.EVENT_FAILED, "type" to event::class.simpleName, cause = failure)
            },
        )
    private val transport =
        PeerTransport(
            self = settings.router,
            incarnation = incarnation,
            address = settings.peerAddress,
            fleetKey = settings.fleetKey.bytes(),
            addressOf = ::peerAddress,
            handlers =
                TransportHandlers(
                    message = { from, message -> workers.post(NodeEvent.MessageReceived(from, message)) },
                    connected = { router, _ -> workers.post(NodeEvent.PeerConnected(router)) },
                    disconnected = { router -> workers.post(NodeEvent.PeerDisconnected(router)) },
                ),
        )
    private val datagrams =
        ProbeSocket(settings.router, settings.probeAddress, settings.fleetKey.bytes()) { from, message ->
            offer(NodeEvent.DatagramReceived(from, message))
        }
    private val rateLimiter = CallRateLimiter(PLATFORM_CALLS_PER_SECOND, PLATFORM_CALL_BURST, clock)
    private val keyValueService = StoreClient(vertx, settings.keyValueServiceAddress, rateLimiter, clock)
    private val keyClaimer =
        KeyClaimer(keyValueService, clock, settings.router, incarnation, { UUID.randomUUID().toString() })
    private val virtualMachineListClient =
        settings.virtualMachineListAddress?.let {
            VirtualMachineListClient(vertx, it, rateLimiter, clock)
        }
    private val keyValueEffects =
        KeyValueEffectExecutor(
            source = DocumentSource(keyValueService, clock),
            claim = { keyClaimer.claim(it.team, it.key, it.deadline) },
            scope = scope,
            post = ::offer,
        )
    private val addresses =
        AddressPlanner(
            region = settings.region,
            members = node.membership::members,
            document = node.documents::document,
            tickets = node.tickets,
            load = { 0.0 },
            random = random,
            validSeconds = settings.addressDeadlineSeconds,
        )
    private val callerServer =
        HttpEdge(
            settings =
                EdgeSettings(
                    router = settings.router,
                    incarnation = incarnation,
                    address = settings.callerAddress,
                    maximumRequestBytes = settings.requestLimitBytes,
                    requestDeadlineSeconds = settings.requestDeadlineSeconds,
                    eventLoops = settings.workers,
                ),
            vertx = vertx,
            events = ::offer,
            document = node.documents::document,
            addresses = addresses::plan,
            clock = clock,
        )
    private val enginePoller = EnginePoller(vertx, ::offer, { allottedEngines(node) }, clock)
    private val submitter =
        DocumentSubmitter(
            service = keyValueService,
            clock = clock,
            held = node.documents::document,
            isConnectedWithMajority = { node.documents.isConnectedWithMajority(clock()) },
            push = ::pushAccepted,
        )
    private val operatorServer = OperatorHttpServer(vertx, settings, operatorPort(), scope, clock)

    /** Bytes of messages and datagrams sent to other routers. */
    public val controlBytesSent: Long
        get() = transport.counters.bytesSent.sum() + datagrams.bytesSent.sum()

    /** Opens all sockets and starts the workers. */
    public suspend fun start() {
        metrics.exposeTraffic(transport, datagrams)
        metrics.exposeNode(node, ::isReady)
        metrics.exposeCalls(rateLimiter)
        workers.start(scope, Dispatchers.Default)
        transport.start()
        datagrams.start()
        operatorServer.start()
        callerServer.start()
        scope.launch { tick() }
        scope.launch { closeLostConnections() }
        scope.launch { enginePoller.run() }
        virtualMachineListClient?.let { scope.launch { listVirtualMachines(it) } }
        log.write(NodeLogEvent.ROUTER_STARTED, "router" to settings.router, "incarnation" to incarnation)
    }

    /** Whether a graceful shutdown has completed. */
    public val isDrained: Boolean get() = drained.isCompleted

    /** Starts a graceful shutdown: refuses new work and lets running requests finish. */
    public fun drain() {
        log.write(NodeLogEvent.DRAIN_STARTED, "router" to settings.router)
        offer(NodeEvent.DrainRequested)
    }

    /** Waits until a graceful shutdown has completed. */
    public suspend fun awaitDrained() {
        drained.await()
        log.write(NodeLogEvent.DRAIN_COMPLETED, "router" to settings.router)
    }

    /** Closes all sockets immediately. */
    public suspend fun stop() {
        callerServer.stop()
        operatorServer.stop()
        scope.cancel()
        workers.close()
        transport.stop()
        datagrams.stop()
        keyValueService.close()
        virtualMachineListClient?.close()
        log.write(NodeLogEvent.ROUTER_STOPPED, "router" to settings.router)
    }

    private suspend fun listVirtualMachines(client: VirtualMachineListClient) {
        while (scope.isActive) {
            val result = client.list(clock().plusSeconds(1))
            if (result is VirtualMachineListResult.Listed) {
                offer(NodeEvent.VirtualMachinesListed(result.live, result.leaving))
            }
            delay(VIRTUAL_MACHINE_LIST_PERIOD_MILLISECONDS)
        }
    }

    /** Closes connections to routers declared dead or left, because a VM that vanishes does not close its own. */
    private suspend fun closeLostConnections() {
        while (scope.isActive) {
            node.membership.allKnown().forEach { member ->
                when (member.state) {
                    MemberState.DEAD -> transport.reset(member.router)
                    MemberState.LEFT -> transport.forget(member.router)
                    MemberState.ALIVE, MemberState.SUSPECT -> Unit
                }
            }
            delay(CONNECTION_CHECK_PERIOD_MILLISECONDS)
        }
    }

    private suspend fun tick() {
        while (scope.isActive) {
            offer(NodeEvent.Tick)
            delay(NodeEvent.TICK_MILLISECONDS)
        }
    }

    /** Whether this router accepts new work now. */
    public fun isReady(): Boolean = node.documents.mayGiveOutWork(clock()) && !node.isDraining

    /** Submits a document on behalf of an operator. */
    public suspend fun submit(submission: Submission): SubmissionResult =
        submitter.submit(submission.text, submission.basedOn, submission.submissionId)

    /** Posts an accepted document to the node, which sends it to the peers, and waits until the node uses it. */
    private suspend fun pushAccepted(document: AcceptedDocument) {
        workers.post(NodeEvent.DocumentRead(document))
        while ((node.documents.document()?.revision ?: Revision.NONE) < document.revision) {
            delay(NodeEvent.TICK_MILLISECONDS)
        }
    }

    private fun operatorPort(): RouterOperations = RouterOperations(
        document = node.documents::document,
        submit = ::submit,
        status = { describeFleet(node, settings, incarnation, isReady()) },
        drain = ::drain,
        metrics = metrics::scrape,
        burnReport = { renderBurnReport(node, it, clock()) },
    )

    private fun offer(event: NodeEvent) {
        if (!workers.offer(event)) {
            log.write(NodeLogEvent.EVENT_QUEUE_FULL, "type" to event::class.simpleName)
        }
    }

    private suspend fun handle(event: NodeEvent) {
        node.handle(event, clock()).forEach { effect ->
            try {
                execute(effect)
            } catch (failure: Exception) {
                log.write(NodeLogEvent.EFFECT_FAILED, "type" to effect::class.simpleName, cause = failure)
            }
        }
    }

    private suspend fun execute(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.SendMessage -> transport.send(effect.to, effect.message)
            is NodeEffect.SendDatagram -> datagrams.send(effect.to, effect.message)
            is NodeEffect.ReadDocument -> keyValueEffects.readDocument()
            is NodeEffect.WatchDocument -> keyValueEffects.watchDocument(effect.isWatching)
            is NodeEffect.ClaimKey -> keyValueEffects.claimKey(effect)
            is NodeEffect.Drained -> drained.complete(Unit)
            is NodeEffect.StartAttempt, is NodeEffect.CancelAttempt, is NodeEffect.FinishRequest ->
                callerServer.execute(
                    effect,
                )
            is NodeEffect.SlotGranted, is NodeEffect.SlotRefused -> error("$effect must be handled by RouterNode")
        }
    }

    private fun peerAddress(router: RouterId) = node.membership
        .allKnown()
        .firstOrNull { it.router == router }
        ?.peerAddress

    private companion object {
        const val EVENT_QUEUE_CAPACITY = 8_192

        /** With 390 routers the total stays below the service's limit: only each domain's watchers call regularly. */
        const val PLATFORM_CALLS_PER_SECOND = 20.0
        const val PLATFORM_CALL_BURST = 40

        /** The list lags, so polling more often gains little; with 390 routers this makes 13 calls per second. */
        const val VIRTUAL_MACHINE_LIST_PERIOD_MILLISECONDS = 30_000L
        const val CONNECTION_CHECK_PERIOD_MILLISECONDS = 1_000L
    }
}
