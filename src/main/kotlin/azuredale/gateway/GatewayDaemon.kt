package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.edge.BackendConnectionPool
import azuredale.edge.CallerHandlers
import azuredale.edge.CallerServer
import azuredale.edge.DecodedHead
import azuredale.edge.Refusal
import azuredale.edge.ResponseDecoder
import azuredale.freshness.EraNotes
import azuredale.freshness.StoreReader
import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.outcome.Failure
import azuredale.peers.PeerCodec
import azuredale.quarantine.QuarantineStore
import azuredale.resumption.VersionNotes
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpRequest
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramSocket
import io.vertx.core.datagram.DatagramSocketOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay

/** Encoders, decoders and store access that the adapter provides to a [GatewayDaemon]. */
internal class PlatformAdapter(
    val storeReader: StoreReader,
    val registry: Registry,
    val quarantineStore: QuarantineStore,
    val versionNotes: VersionNotes,
    val eraNotes: EraNotes,
    val failureHeaders: FailureHeaders,
    val responses: ResponseDecoder,
    val encode: (BackendRequest, BackendEntry) -> FullHttpRequest,
    val encodeRefusal: (Failure, Timestamp, Boolean, ByteBufAllocator) -> ByteBuf,
    val preview: (HttpRequest) -> RequestPreview,
    val decode: (HttpServerRequest) -> DecodedHead,
)

/** Router process on the platform: runs a [Gateway] with its sockets and timers on a single event loop. */
internal class GatewayDaemon(
    private val vertx: Vertx,
    private val settings: GatewaySettings,
    private val clock: Clock,
    wallClock: Clock,
    private val adapter: PlatformAdapter,
    private val scope: CoroutineScope,
) {
    private val log = EventLog("azuredale.gateway")
    private val backends =
        BackendConnectionPool(vertx, clock, adapter.responses, adapter.encode) { server, head ->
            gateway.serverAnswered(server, head)
        }
    private val datagrams: DatagramSocket =
        vertx.createDatagramSocket(DatagramSocketOptions().setReceiveBufferSize(PeerCodec.MAXIMUM_DATAGRAM_BYTES))

    private var callers: CallerServer? = null

    val gateway: Gateway =
        Gateway(
            settings = settings,
            clock = clock,
            wallClock = wallClock,
            dependencies =
                GatewayDependencies(
                    storeReader = adapter.storeReader,
                    registry = adapter.registry,
                    backends = backends,
                    failureHeaders = adapter.failureHeaders,
                    sendDatagram = { to, bytes -> datagrams.send(Buffer.buffer(bytes), to.port, to.host) },
                    timer = ::timer,
                    quarantineStore = adapter.quarantineStore,
                    versionNotes = adapter.versionNotes,
                    eraNotes = adapter.eraNotes,
                    probe = backends::probe,
                    onChange = {},
                    openCallerConnections = { callers?.openConnections ?: 0 },
                ),
            scope = scope,
        )
    private var lastSweepAt = Timestamp.DISTANT_PAST

    /** Opens all sockets and starts serving requests. */
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
                maximumConnections = gateway.maximumCallerConnections,
                handlers =
                    CallerHandlers(
                        refuse = ::refusal,
                        decode = adapter.decode,
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
        vertx.setPeriodic(Gateway.TICK_MILLISECONDS) { tick() }
    }

    /** Stops gracefully and returns when the process should exit. */
    suspend fun stop() {
        gateway.stop()
        val end = gateway.gracefulStop.endsAt ?: clock()
        while (clock() < end && !hasStopped()) delay(Gateway.TICK_MILLISECONDS)
        val unfinished = gateway.running
        gateway.endRequests()
        // Lets the last responses leave the socket buffers.
        delay(LAST_ANSWER_MILLISECONDS)
        log.write(GatewayLogEvent.GATEWAY_STOPPED, "running" to unfinished)
        scope.cancel()
    }

    private fun hasStopped() = gateway.hasStopped(clock()) && callers?.areResponsesWritten != false

    private fun refusal(request: HttpRequest): Refusal? {
        val failure = gateway.refusal(adapter.preview(request)) ?: return null
        return Refusal { allocator, isClosing -> adapter.encodeRefusal(failure, clock(), isClosing, allocator) }
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
        const val SWEEP_MILLISECONDS = 500L

        const val LAST_ANSWER_MILLISECONDS = 200L

        /** Limit of the HTTP decoder, which is fixed at startup; the catalog's limit is checked for each request. */
        const val MAXIMUM_HEADER_BYTES = 65_536
    }
}
