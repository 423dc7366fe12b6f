package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.protocol.PeerMessage
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore

/**
 * Exchanges messages with other routers, over one TCP connection per pair of routers.
 *
 * A connection is opened when the first message for a router is queued. If two routers connect to each other at the
 * same time, the connection opened by the router with the lower id is kept. When a connection is lost, queued messages
 * are dropped; the connected and disconnected handlers allow both sides to restore their state.
 *
 * ```
 * val transport = PeerTransport(router, incarnation, settings.peerAddress, key, members::peerAddress, handlers)
 * transport.start()
 * transport.send(RouterId("r-2"), DocumentAnnounce(revision))
 * ```
 *
 * @param addressOf returns the TCP address of a router, or null if it is not known.
 */
public class PeerTransport(
    private val self: RouterId,
    private val incarnation: Incarnation,
    private val address: NetworkAddress,
    fleetKey: ByteArray,
    private val addressOf: (RouterId) -> NetworkAddress?,
    private val handlers: TransportHandlers,
    private val options: TransportOptions = TransportOptions(),
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val handshake = Handshake(fleetKey, options.limits)
    private val nonces = SecureRandom()
    private val links = ConcurrentHashMap<RouterId, PeerLink>()
    private val linkJobs = ConcurrentHashMap<RouterId, Job>()
    private val pendingHandshakes = Semaphore(options.maximumPendingHandshakes)
    private val log = EventLog("azuredale.transport")
    private val rateLimitedLog = RateLimitedLog(log)

    /** Counters for metrics. */
    public val counters: TransportCounters = TransportCounters()

    /** Opens the listening socket and returns the bound address, with the assigned port if port 0 was requested. */
    public suspend fun start(): NetworkAddress {
        val server = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        val bound = NetworkAddress(address.host, (server.localAddress as InetSocketAddress).port)
        log.write(TransportLogEvent.LISTENING, "address" to bound)
        scope.launch { acceptAll(server) }
        return bound
    }

    /** Queues [message] for [to] without waiting. The message is dropped if no connection can be opened. */
    public fun send(to: RouterId, message: PeerMessage): Unit = linkOf(to).enqueue(message)

    /** Closes the connection to [router], for example when the failure detector declares it dead. */
    public fun reset(router: RouterId) {
        links[router]?.current()?.close()
    }

    /** Closes the connection to [router] and discards its queue, when the router has left the fleet. */
    public fun forget(router: RouterId) {
        linkJobs.remove(router)?.cancel()
        links.remove(router)?.current()?.close()
    }

    /** Routers with an established connection. */
    public fun connectedRouters(): Set<RouterId> = links.filterValues { it.current() != null }.keys

    /** Closes the listening socket and all connections. */
    public fun stop() {
        scope.cancel()
        links.values.forEach { it.current()?.close() }
        selector.close()
    }

    private fun linkOf(router: RouterId): PeerLink = links.computeIfAbsent(router) {
        PeerLink(router, options, counters, ::dial).also { link -> linkJobs[router] = scope.launch { link.run() } }
    }

    private suspend fun acceptAll(server: ServerSocket) {
        while (scope.isActive) {
            try {
                handleAccepted(server.accept())
            } catch (fault: Exception) {
                if (!scope.isActive) break
                rateLimitedLog.write(TransportLogEvent.ACCEPT_FAILED, cause = fault)
                kotlinx.coroutines.delay(options.initialBackOffMilliseconds)
            }
        }
        server.close()
    }

    private fun handleAccepted(socket: Socket): Job = scope.launch {
        if (!pendingHandshakes.tryAcquire()) {
            rateLimitedLog.write(
                TransportLogEvent.CONNECTIONS_REFUSED,
                "remote" to runCatching { socket.remoteAddress }.getOrNull(),
            )
            socket.close()
            return@launch
        }
        var isSimultaneousOpen = false
        val connection =
            try {
                establish(socket) { stream -> performAcceptorHandshake(stream) { isSimultaneousOpen = true } }
            } finally {
                pendingHandshakes.release()
            }
        if (connection != null) {
            activate(connection)
        } else if (!isSimultaneousOpen) {
            countRefusedHandshake(socket)
        }
    }

    private suspend fun dial(router: RouterId): PeerConnection? {
        val target = addressOf(router)
        val socket = target?.let { connect(it) }
        val connection = socket?.let { opened -> establish(opened) { performDialerHandshake(it, router) } }
        if (connection != null) return connection.takeIf { activate(it) }
        // The other router refuses this connection if it opens one at the same time and has the lower id.
        if (socket != null && router.name < self.name) links[router]?.awaitCurrent()?.let { return it }
        if (socket != null) countRefusedHandshake(socket)
        rateLimitedLog.write(TransportLogEvent.CONNECT_FAILED, "router" to router, "address" to target)
        return null
    }

    private suspend fun connect(target: NetworkAddress): Socket? = try {
        withTimeoutOrNull(options.handshakeTimeoutMilliseconds) {
            aSocket(selector).tcp().connect(target.host, target.port) { noDelay = true }
        }
    } catch (_: Exception) {
        null
    }

    private fun countRefusedHandshake(socket: Socket) {
        counters.countRefused(FrameFault.HANDSHAKE)
        rateLimitedLog.write(
            TransportLogEvent.HANDSHAKE_REFUSED,
            "remote" to runCatching { socket.remoteAddress }.getOrNull(),
        )
    }

    /** Makes [connection] the current one and starts reading from it; returns false if another one takes precedence. */
    private fun activate(connection: PeerConnection): Boolean {
        val replaced = linkOf(connection.router).attach(connection)
        replaced?.close()
        if (replaced === connection) return false
        scope.launch { serve(connection, replaced) }
        return true
    }

    /** Performs the handshake within its time limit; on failure, closes the socket and returns null. */
    private suspend fun establish(
        socket: Socket,
        exchange: suspend (LengthPrefixedStream) -> PeerConnection?,
    ): PeerConnection? {
        val input = socket.openReadChannel()
        val stream = LengthPrefixedStream(socket, input, socket.openWriteChannel(autoFlush = false), counters)
        val connection =
            try {
                withTimeoutOrNull(options.handshakeTimeoutMilliseconds) { exchange(stream) }
            } catch (_: Exception) {
                null
            }
        if (connection == null) socket.close()
        return connection
    }

    private suspend fun performDialerHandshake(stream: LengthPrefixedStream, router: RouterId): PeerConnection? {
        val localHello = handshake.encode(HandshakeRole.DIALER, Hello(self, incarnation, router, nonce()))
        stream.write(localHello)
        val remoteHello = stream.read(Handshake.MAXIMUM_BYTES) ?: return null
        val hello =
            handshake
                .decode(HandshakeRole.ACCEPTOR, remoteHello, localHello)
                ?.takeIf { it.router == router && it.target == self } ?: return null
        val codec = handshake.codec(HandshakeRole.DIALER, localHello, remoteHello)
        val connection = connection(hello, isDialed = true, stream, codec)
        connection.send(emptyList())
        return connection
    }

    private suspend fun performAcceptorHandshake(
        stream: LengthPrefixedStream,
        onSimultaneousOpen: () -> Unit,
    ): PeerConnection? {
        val remoteHello = stream.read(Handshake.MAXIMUM_BYTES) ?: return null
        val hello =
            handshake
                .decode(HandshakeRole.DIALER, remoteHello)
                ?.takeIf { it.target == self && it.router != self } ?: return null
        if (!acceptsConnectionFrom(hello.router)) {
            onSimultaneousOpen()
            return null
        }
        val localHello =
            handshake.encode(
                HandshakeRole.ACCEPTOR,
                Hello(self, incarnation, hello.router, nonce()),
                remoteHello,
            )
        stream.write(localHello)
        val codec = handshake.codec(HandshakeRole.ACCEPTOR, remoteHello, localHello)
        val connection = connection(hello, isDialed = false, stream, codec)
        val first = connection.receive() as? FrameResult.Decoded ?: return null
        if (first.messages.isNotEmpty()) return null
        return connection
    }

    private fun connection(
        hello: Hello,
        isDialed: Boolean,
        stream: LengthPrefixedStream,
        codec: FrameCodec,
    ): PeerConnection {
        val isPreferred = isDialed == (self.name < hello.router.name)
        return PeerConnection(hello, isDialed, isPreferred, stream, codec, options.limits, counters)
    }

    private fun acceptsConnectionFrom(router: RouterId): Boolean =
        links[router]?.refusesIncoming(isOwnPreferred = self.name < router.name) != true

    private suspend fun serve(connection: PeerConnection, replaced: PeerConnection?) {
        val router = connection.router
        // Waits until the end of the replaced connection is reported, so that the latest report is the current state.
        replaced?.endReported?.join()
        log.write(TransportLogEvent.PEER_CONNECTED, "router" to router, "incarnation" to connection.incarnation)
        runHandler { handlers.connected(router, connection.incarnation) }
        try {
            receiveAll(connection)
        } catch (fault: Exception) {
            log.write(TransportLogEvent.CONNECTION_LOST, "router" to router, cause = fault)
        } finally {
            connection.close()
        }
        links[router]?.detach(connection)
        log.write(TransportLogEvent.PEER_DISCONNECTED, "router" to router)
        runHandler { handlers.disconnected(router) }
        connection.endReported.complete()
    }

    private suspend fun receiveAll(connection: PeerConnection) {
        var result = connection.receive()
        while (result is FrameResult.Decoded) {
            result.messages.forEach { runHandler { handlers.message(connection.router, it) } }
            result = connection.receive()
        }
        if (result is FrameResult.Refused) {
            log.write(
                TransportLogEvent.FRAME_REFUSED,
                "router" to connection.router,
                "fault" to result.fault,
                "detail" to result.detail,
            )
        }
    }

    private suspend fun runHandler(block: suspend () -> Unit) {
        try {
            block()
        } catch (fault: kotlinx.coroutines.CancellationException) {
            throw fault
        } catch (fault: Exception) {
            rateLimitedLog.write(TransportLogEvent.HANDLER_FAILED, cause = fault)
        }
    }

    private fun nonce(): ByteArray = ByteArray(Handshake.NONCE_BYTES).also(nonces::nextBytes)
}
