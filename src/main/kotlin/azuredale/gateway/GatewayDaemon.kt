package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.edge.BackendConnectionPool
import azuredale.edge.CallerHandlers
import azuredale.edge.CallerServer
import azuredale.edge.DecodedHead
import azuredale.edge.ResponseDecoder
import azuredale.freshness.PlatformReads
import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.handler.codec.http.FullHttpRequest
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramSocket
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay

/** The adapter's functions that a [GatewayDaemon] uses. */
internal class WireFunctions(
    val reads: PlatformReads,
    val registry: Registry,
    val format: AnswerFormat,
    val responses: ResponseDecoder,
    val encode: (BackendRequest, BackendEntry) -> FullHttpRequest,
    val decode: (HttpServerRequest) -> DecodedHead,
)

/** One router process on the platform: sockets and timers around a [Gateway]. All of it runs on one event loop. */
internal class GatewayDaemon(
    private val vertx: Vertx,
    private val settings: GatewaySettings,
    private val clock: Clock,
    timeOfDay: Clock,
    private val wire: WireFunctions,
    private val scope: CoroutineScope,
) {
    private val log = EventLog("azuredale.gateway")
    private val backends = BackendConnectionPool(vertx, clock, wire.responses, wire.encode)
    private val datagrams: DatagramSocket = vertx.createDatagramSocket()

    /** The decisions. */
    val gateway =
        Gateway(
            settings = settings,
            clock = clock,
            timeOfDay = timeOfDay,
            links =
                GatewayLinks(
                    reads = wire.reads,
                    registry = wire.registry,
                    backends = backends,
                    format = wire.format,
                    sendDatagram = { to, bytes -> datagrams.send(Buffer.buffer(bytes), to.port, to.host) },
                    timer = ::timer,
                    changed = {},
                ),
            scope = scope,
        )
    private var callers: CallerServer? = null
    private var lastSweepAt = Timestamp.DISTANT_PAST

    /** Opens all sockets and begins to serve. */
    suspend fun start() {
        datagrams.handler { packet ->
            val sender = packet.sender()
            gateway.datagramReceived(NetworkAddress(sender.hostAddress(), sender.port()), packet.data().bytes)
        }
        datagrams.listen(settings.peerAddress.port, settings.peerAddress.host).coAwait()
        val server =
            CallerServer(
                vertx = vertx,
                host = settings.callerAddress.host,
                port = settings.callerAddress.port,
                maximumHeaderBytes = MAXIMUM_HEADER_BYTES,
                handlers =
                    CallerHandlers(
                        decode = wire.decode,
                        serve = gateway::serve,
                        malformed = { log.write(GatewayLogEvent.HEAD_MALFORMED, "detail" to it.detail) },
                        isClosing = gateway::isStopping,
                    ),
                clock = clock,
            )
        callers = server
        server.start()
        gateway.metrics.gauge("caller.connections") { server.openConnections.toDouble() }
        gateway.metrics.gauge("server.connections") { backends.openConnections.toDouble() }
        gateway.metrics.gauge("server.connections.opened") { backends.opened.toDouble() }
        gateway.start()
        vertx.setPeriodic(TICK_MILLISECONDS) { tick() }
    }

    /** Begins a planned stop and returns when this process should end. */
    suspend fun stop() {
        gateway.stop()
        val end = clock().plusMilliseconds(settings.bounds.gracePeriod - GRACE_MARGIN_MILLISECONDS)
        while (clock() < end && !(gateway.isClosed(clock()) && gateway.running == 0)) delay(TICK_MILLISECONDS)
        // The last answers are on their way.
        delay(LAST_ANSWER_MILLISECONDS)
        log.write(GatewayLogEvent.GATEWAY_STOPPED, "running" to gateway.running)
        scope.cancel()
    }

    private fun tick() {
        gateway.tick()
        val now = clock()
        if (now < lastSweepAt.plusMilliseconds(SWEEP_MILLISECONDS)) return
        lastSweepAt = now
        backends.closeExpired(gateway.view.directory.entries.keys)
        val idle =
            gateway.view.catalog
                ?.limits
                ?.idleTimeoutMilliseconds ?: return
        callers?.closeIdleSince(now.plusMilliseconds(-idle))
    }

    private fun timer(at: Timestamp, action: () -> Unit): Timer {
        val milliseconds = (at.microsecondsSince(clock()) / Timestamp.MICROSECONDS_PER_MILLISECOND).coerceAtLeast(1)
        val id = vertx.setTimer(milliseconds) { action() }
        return Timer { vertx.cancelTimer(id) }
    }

    private companion object {
        /** Shortest period of reports between routers; what is due is looked up this often. */
        const val TICK_MILLISECONDS = 20L
        const val SWEEP_MILLISECONDS = 500L

        /** Time for the last answers and the end of the process before the platform ends it. */
        const val GRACE_MARGIN_MILLISECONDS = 600L
        const val LAST_ANSWER_MILLISECONDS = 100L

        /** The decoder's bound is fixed at start; the catalog's own bound is checked for each request. */
        const val MAXIMUM_HEADER_BYTES = 65_536
    }
}
