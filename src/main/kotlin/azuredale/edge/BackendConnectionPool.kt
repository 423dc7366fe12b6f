package azuredale.edge

import azuredale.directory.BackendEntry
import azuredale.directory.ServerProcess
import azuredale.directory.process
import azuredale.gateway.BackendAttempt
import azuredale.gateway.BackendEvent
import azuredale.gateway.BackendRequest
import azuredale.gateway.BackendTransport
import azuredale.gateway.GatewayLogEvent
import azuredale.gateway.ResponseHead
import azuredale.gateway.SendDecision
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.channel.ConnectTimeoutException
import io.netty.handler.codec.http.FullHttpRequest
import io.vertx.core.Vertx
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetClientOptions
import java.net.ConnectException

/**
 * Connection pool for backend servers.
 *
 * @param onHead called with the head of each response, whatever request it belongs to.
 */
internal class BackendConnectionPool(
    vertx: Vertx,
    private val clock: Clock,
    private val decoder: ResponseDecoder,
    private val encode: (BackendRequest, BackendEntry) -> FullHttpRequest,
    private val onHead: (BackendEntry, ResponseHead) -> Unit,
) : BackendTransport {
    private class IdleConnection(
        val connection: BackendConnection,
        val process: ServerProcess,
        val since: Timestamp,
        val closesAt: Timestamp,
    )

    private class ServerConnections {
        val idle = ArrayDeque<IdleConnection>()
        var open = 0
    }

    private val client =
        vertx.createNetClient(NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS).setTcpNoDelay(true))
    private val servers = HashMap<ServerId, ServerConnections>()
    private val log = EventLog("azuredale.gateway")

    /** Number of open connections, for metrics. */
    val openConnections: Int get() = servers.values.sumOf { it.open }

    /** Total number of connections opened, for metrics. */
    var opened: Long = 0
        private set

    override fun send(
        server: BackendEntry,
        requestId: String,
        requiresRecentConnection: Boolean,
        decide: () -> SendDecision,
        onEvent: (BackendEvent) -> Unit,
    ): BackendAttempt {
        val attempt = Attempt(requestId, decide, { encode(it, server) }, onEvent)
        val kept = takeIdle(server, requiresRecentConnection)
        if (kept == null) {
            connect(server, attempt)
        } else if (!attempt.start(kept.connection)) {
            servers[server.id]?.idle?.addLast(kept)
        }
        return attempt
    }

    /** Tries a new connection to [server] and reports whether it was refused, so that no process listens there. */
    fun probe(server: BackendEntry, onResult: (isRefused: Boolean) -> Unit) {
        client.connect(server.address.port, server.address.host).onComplete { result ->
            if (result.succeeded()) result.result().close()
            val cause = result.cause()
            onResult(cause is ConnectException && cause !is ConnectTimeoutException)
        }
    }

    /** Closes idle connections that have timed out or whose servers are not in [present]. */
    fun closeExpired(present: Set<ServerId>) {
        val now = clock()
        servers.entries.removeIf { (id, server) ->
            server.idle.removeIf { idle ->
                val isOver = id !in present || idle.closesAt <= now
                if (isOver) idle.connection.close()
                isOver
            }
            id !in present && server.open == 0
        }
    }

    private fun takeIdle(server: BackendEntry, requiresRecentConnection: Boolean): IdleConnection? {
        val idle = servers[server.id]?.idle ?: return null
        val now = clock()
        while (true) {
            val newest = idle.removeLastOrNull() ?: return null
            val isFresh = now.microsecondsSince(newest.since) <= MAXIMUM_FRESH_IDLE_MICROSECONDS
            when {
                !newest.connection.isUsable || newest.closesAt <= now || newest.process != server.process ->
                    newest.connection.close()
                requiresRecentConnection && !isFresh -> {
                    idle.addLast(newest)
                    return null
                }
                else -> return newest
            }
        }
    }

    private fun connect(server: BackendEntry, attempt: Attempt) {
        val serverConnections = servers.getOrPut(server.id) { ServerConnections() }
        serverConnections.open++
        client.connect(server.address.port, server.address.host).onComplete { result ->
            if (result.failed()) {
                serverConnections.open--
                attempt.failed(result.cause().message ?: result.cause().javaClass.simpleName)
            } else {
                opened++
                val connection =
                    BackendConnection(
                        number = opened,
                        socket = result.result() as NetSocketInternal,
                        decoder = decoder,
                        onHead = { onHead(server, it) },
                        onIdle = {
                            connection,
                            hints,
                            ->
                            addIdle(serverConnections, connection, server.process, hints)
                        },
                        onUnexpectedBytes = { detail ->
                            log.write(GatewayLogEvent.UNEXPECTED_BYTES, "server" to server.id, "detail" to detail)
                        },
                        onClosed = { closed -> removeClosed(serverConnections, closed) },
                    )
                if (!attempt.start(connection)) {
                    addIdle(serverConnections, connection, server.process, UNUSED_CONNECTION)
                }
            }
        }
    }

    private fun addIdle(
        server: ServerConnections,
        connection: BackendConnection,
        process: ServerProcess,
        hints: ConnectionHints,
    ) {
        val now = clock()
        val announced = hints.keepAliveSeconds?.let { now.plusSeconds(it).plusMilliseconds(-CLOSE_MARGIN_MILLISECONDS) }
        val bound = now.plusMilliseconds(MAXIMUM_IDLE_MILLISECONDS)
        server.idle.addLast(IdleConnection(connection, process, now, minOf(announced ?: bound, bound)))
    }

    private fun removeClosed(server: ServerConnections, connection: BackendConnection) {
        server.open--
        server.idle.removeIf { it.connection === connection }
    }

    private class Attempt(
        private val requestId: String,
        private val decide: () -> SendDecision,
        private val encode: (BackendRequest) -> FullHttpRequest,
        private val onEvent: (BackendEvent) -> Unit,
    ) : BackendAttempt {
        private var exchange: BackendConnection.Exchange? = null
        private var isCancelled = false

        /** Writes the request to [connection] if it is still to be sent; returns whether it was written. */
        fun start(connection: BackendConnection): Boolean {
            if (isCancelled) return false
            when (val decision = decide()) {
                is SendDecision.Send -> {
                    onEvent(BackendEvent.Sent)
                    exchange =
                        connection.send(encode(decision.request), requestId) { if (!isCancelled) onEvent(it) }
                    return true
                }
                else -> onEvent(BackendEvent.Withdrawn(decision))
            }
            return false
        }

        fun failed(detail: String) {
            if (!isCancelled) onEvent(BackendEvent.NotSent(detail))
        }

        override fun cancel() {
            isCancelled = true
            exchange?.cancel()
        }

        override fun pause(isPaused: Boolean) {
            exchange?.pause(isPaused)
        }
    }

    private companion object {
        /** Connecting within a region takes milliseconds; a short timeout leaves time to try another server. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 250

        /** Servers keep idle connections open for at least one second, so a connection idle for less is still open. */
        const val MAXIMUM_FRESH_IDLE_MICROSECONDS = 800_000L

        /** Subtracted from the server's keep-alive time, so that no request is sent while the server is closing. */
        const val CLOSE_MARGIN_MILLISECONDS = 400L
        const val MAXIMUM_IDLE_MILLISECONDS = 4_000L

        /** Of a connection that carried no response yet. */
        val UNUSED_CONNECTION = ConnectionHints(isClosing = false, keepAliveSeconds = null)
    }
}
