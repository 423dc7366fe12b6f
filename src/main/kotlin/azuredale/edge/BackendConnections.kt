package azuredale.edge

import azuredale.directory.BackendEntry
import azuredale.gateway.BackendAttempt
import azuredale.gateway.BackendEvent
import azuredale.gateway.BackendRequest
import azuredale.gateway.BackendTransport
import azuredale.identity.ServerId
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.handler.codec.http.FullHttpRequest
import io.vertx.core.Vertx
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetClientOptions

/** Connections to backend servers, kept between requests. */
internal class BackendConnections(
    vertx: Vertx,
    private val clock: Clock,
    private val decoder: ResponseDecoder,
    private val encode: (BackendRequest, BackendEntry) -> FullHttpRequest,
) : BackendTransport {
    private class Idle(
        val connection: BackendConnection,
        val since: Timestamp,
        val closesAt: Timestamp,
    )

    private class Server {
        val idle = ArrayDeque<Idle>()
        var open = 0
    }

    private val client =
        vertx.createNetClient(NetClientOptions().setConnectTimeout(CONNECT_MILLISECONDS).setTcpNoDelay(true))
    private val servers = HashMap<ServerId, Server>()

    /** Connections that are open, for metrics. */
    val openConnections: Int get() = servers.values.sumOf { it.open }

    /** Connections opened so far, for metrics. */
    var opened: Long = 0
        private set

    override fun send(
        server: BackendEntry,
        request: BackendRequest,
        requiresRecentConnection: Boolean,
        onEvent: (BackendEvent) -> Unit,
    ): BackendAttempt {
        val attempt = Attempt(request.head.id, encode(request, server), onEvent)
        val kept = takeIdle(server.id, requiresRecentConnection)
        if (kept != null) attempt.start(kept) else connect(server, attempt)
        return attempt
    }

    /** Closes the idle connections of servers that are not in [present], and those that have been idle for long. */
    fun sweep(present: Set<ServerId>) {
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

    private fun takeIdle(id: ServerId, requiresRecentConnection: Boolean): BackendConnection? {
        val idle = servers[id]?.idle ?: return null
        val now = clock()
        while (true) {
            val newest = idle.removeLastOrNull() ?: return null
            val isFresh = now.microsecondsSince(newest.since) <= FRESH_MICROSECONDS
            when {
                !newest.connection.isUsable || newest.closesAt <= now -> newest.connection.close()
                requiresRecentConnection && !isFresh -> {
                    idle.addLast(newest)
                    return null
                }
                else -> return newest.connection
            }
        }
    }

    private fun connect(server: BackendEntry, attempt: Attempt) {
        val ofServer = servers.getOrPut(server.id) { Server() }
        ofServer.open++
        client.connect(server.address.port, server.address.host).onComplete { result ->
            if (result.failed()) {
                ofServer.open--
                attempt.failed(result.cause().message ?: result.cause().javaClass.simpleName)
            } else {
                opened++
                val connection =
                    BackendConnection(
                        socket = result.result() as NetSocketInternal,
                        decoder = decoder,
                        onIdle = { connection, hints -> keep(ofServer, connection, hints) },
                        onClosed = { closed -> forget(ofServer, closed) },
                    )
                attempt.start(connection)
            }
        }
    }

    private fun keep(server: Server, connection: BackendConnection, hints: ConnectionHints) {
        val now = clock()
        val announced = hints.keepAliveSeconds?.let { now.plusSeconds(it).plusMilliseconds(-CLOSE_MARGIN_MILLISECONDS) }
        val bound = now.plusMilliseconds(MAXIMUM_IDLE_MILLISECONDS)
        server.idle.addLast(Idle(connection, now, minOf(announced ?: bound, bound)))
    }

    private fun forget(server: Server, connection: BackendConnection) {
        server.open--
        server.idle.removeIf { it.connection === connection }
    }

    private class Attempt(
        private val requestId: String,
        private val request: FullHttpRequest,
        private val onEvent: (BackendEvent) -> Unit,
    ) : BackendAttempt {
        private var exchange: BackendConnection.Exchange? = null
        private var isCancelled = false

        fun start(connection: BackendConnection) {
            if (isCancelled) {
                request.release()
                connection.close()
                return
            }
            onEvent(BackendEvent.Sent)
            exchange = connection.send(request, requestId) { if (!isCancelled) onEvent(it) }
        }

        fun failed(detail: String) {
            request.release()
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
        /** Links within a region answer in milliseconds; leaves time for another server within usual targets. */
        const val CONNECT_MILLISECONDS = 250

        /** A server that closes an idle connection does so after whole seconds, so this long it is surely open. */
        const val FRESH_MICROSECONDS = 800_000L

        /** Kept shorter than the announced time, so that a request does not cross the server's close. */
        const val CLOSE_MARGIN_MILLISECONDS = 400L
        const val MAXIMUM_IDLE_MILLISECONDS = 4_000L
    }
}
