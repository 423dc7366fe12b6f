package azuredale.edge

import azuredale.gateway.BodyResult
import azuredale.gateway.Caller
import azuredale.gateway.Header
import azuredale.gateway.MalformedHead
import azuredale.gateway.RequestHead
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.handler.codec.http.HttpRequest
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred

/** Result of decoding a request head. */
public sealed interface DecodedHead {
    public data class Valid(val head: RequestHead) : DecodedHead

    public data class Malformed(val fault: MalformedHead) : DecodedHead
}

/** Callbacks of [CallerServer]. */
public class CallerHandlers(
    /** Returns the refusal of a request that the router has no time for, before it is decoded; null otherwise. */
    public val refuse: (HttpRequest) -> Refusal?,
    /** Decodes the head of a request. */
    public val decode: (HttpServerRequest) -> DecodedHead,
    /** Starts serving a request. Must not block. */
    public val serve: (Caller) -> Unit,
    /** Called for a request that could not be decoded. */
    public val malformed: (MalformedHead) -> Unit,
    /** Whether responses should have the header `Connection: close`. */
    public val isClosing: () -> Boolean,
)

/**
 * HTTP server for callers.
 *
 * @param maximumConnections number of connections that callers may have open. Beyond it, those that have been idle for
 *   longest are closed; if all are in use, a new connection is closed at once, so that its caller can try elsewhere.
 */
internal class CallerServer(
    private val vertx: Vertx,
    private val host: String,
    private val port: Int,
    private val maximumHeaderBytes: Int,
    private val maximumConnections: Int,
    private val handlers: CallerHandlers,
    private val clock: Clock,
) {
    private class Connection(var idleSince: Timestamp) {
        var requests = 0
    }

    private var server: HttpServer? = null
    private val pending = PendingResponses()
    private val connections = HashMap<HttpConnection, Connection>()

    /** Whether all responses that were ended have been written, as far as their callers are still there. */
    val areResponsesWritten: Boolean get() = pending.count == 0

    /** Number of open connections, for metrics. */
    val openConnections: Int get() = connections.size

    suspend fun start() {
        val options =
            HttpServerOptions()
                .setHost(host)
                .setPort(port)
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setMaxInitialLineLength(maximumHeaderBytes)
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
        server =
            vertx
                .createHttpServer(options)
                .connectionHandler(::connectionOpened)
                .invalidRequestHandler(::refuseInvalid)
                .requestHandler(::handleRequest)
                .listen()
                .coAwait()
    }

    suspend fun stop() {
        server?.close()?.coAwait()
    }

    /** Closes connections that have been idle since [deadline] or longer. */
    fun closeIdleSince(deadline: Timestamp) {
        val idle = connections.filterValues { it.requests == 0 && it.idleSince <= deadline }.keys.toList()
        idle.forEach { it.close() }
    }

    private fun connectionOpened(connection: HttpConnection) {
        if (connections.size >= maximumConnections) closeLongestIdle()
        if (connections.size >= maximumConnections) {
            connection.close()
            return
        }
        val opened = Connection(clock())
        connections[connection] = opened
        connection.closeHandler { connections.remove(connection) }
        refuseEarly(connection, opened)
    }

    private fun refuseEarly(connection: HttpConnection, opened: Connection) {
        val handler =
            RefusalHandler(
                isIdle = { opened.requests == 0 },
                refuse = handlers.refuse,
                isClosing = handlers.isClosing,
                onRefused = { opened.idleSince = clock() },
            )
        val context = (connection as HttpServerConnection).channelHandlerContext()
        context.pipeline().addBefore(context.name(), "refusal", handler)
    }

    /** Closes several at a time, so that a flood of connections does not cause a search for each of them. */
    private fun closeLongestIdle() {
        val idle = connections.entries.filter { it.value.requests == 0 }.sortedBy { it.value.idleSince }
        idle.take(maximumConnections / CLOSED_PARTS + 1).forEach { (connection, _) ->
            connections.remove(connection)
            connection.close()
        }
    }

    private fun refuseInvalid(request: HttpServerRequest) {
        handlers.malformed(
            MalformedHead(
                request
                    .decoderResult()
                    .cause()
                    ?.message
                    .orEmpty(),
            ),
        )
        HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request)
    }

    private fun handleRequest(request: HttpServerRequest) {
        val connection = connections[request.connection()]
        connection?.let { it.requests++ }
        when (val decoded = handlers.decode(request)) {
            is DecodedHead.Valid ->
                handlers.serve(
                    HttpCaller(request, decoded.head, pending, handlers.isClosing) { requestEnded(connection) },
                )
            is DecodedHead.Malformed -> {
                handlers.malformed(decoded.fault)
                requestEnded(connection)
                request.response().setStatusCode(BAD_REQUEST).end(decoded.fault.detail)
            }
        }
    }

    private fun requestEnded(connection: Connection?) {
        if (connection == null) return
        connection.requests--
        connection.idleSince = clock()
    }

    private companion object {
        const val BAD_REQUEST = 400

        /** The part of all connections that is closed at once is one in this number. */
        const val CLOSED_PARTS = 16

        /**
         * Connections that wait to be accepted. A small VM accepts several hundred a second, so a longer queue holds
         * only requests that are read after their callers have given up.
         */
        const val ACCEPT_BACKLOG = 128
    }
}

/** Sets the status and the headers; a closing router asks the caller to use the connection no more. */
private fun HttpServerResponse.begin(status: Int, headers: List<Header>, isClosing: Boolean) {
    setStatusCode(status)
    headers.forEach { headers().add(it.name, it.value) }
    if (isClosing) putHeader("Connection", "close")
}

/** Counts responses that have ended but are not yet written to their connections. */
private class PendingResponses {
    var count = 0
        private set

    /** Counts a response until [writing] has completed, also if it failed. */
    fun add(writing: Future<Void>) {
        count++
        writing.onComplete { count-- }
    }
}

/** A request on a caller's connection. */
private class HttpCaller(
    private val request: HttpServerRequest,
    override val head: RequestHead,
    private val pending: PendingResponses,
    private val isClosing: () -> Boolean,
    private val onEnded: () -> Unit,
) : Caller {
    private val response = request.response()
    private var onGone: (() -> Unit)? = null
    override var isDisconnected = false
        private set
    private var isEnded = false
    private var isPaused = false

    init {
        response.exceptionHandler { disconnected() }
        response.closeHandler { disconnected() }
        response.endHandler { responseEnded() }
    }

    override val declaredBytes: Long? = declaredLength()

    private fun declaredLength(): Long? {
        val length = request.getHeader("Content-Length")?.toLongOrNull()
        return if (length == null && request.getHeader("Transfer-Encoding") == null) 0 else length
    }

    override fun pause() {
        isPaused = true
        request.pause()
    }

    private fun resume() {
        if (isPaused) request.resume()
        isPaused = false
    }

    override suspend fun readBody(limitBytes: Int, mayHold: (Long) -> Boolean): BodyResult {
        val result = CompletableDeferred<BodyResult>()
        val declared = declaredBytes ?: 0
        if (declared > limitBytes) return BodyResult.TooLarge
        var bytes = Buffer.buffer()
        request.handler { chunk ->
            if (result.isCompleted) return@handler
            val count = bytes.length() + chunk.length()
            when {
                count > limitBytes -> result.complete(BodyResult.TooLarge)
                !mayHold(count.toLong()) -> result.complete(BodyResult.NoRoom)
                bytes.length() > 0 -> bytes.appendBuffer(chunk)
                chunk.length() >= declared -> bytes = chunk
                else -> bytes = Buffer.buffer(declared.toInt()).appendBuffer(chunk)
            }
        }
        request.exceptionHandler { result.complete(BodyResult.Incomplete) }
        request.endHandler { result.complete(BodyResult.Complete(bytes)) }
        resume()
        return result.await()
    }

    override fun respond(status: Int, headers: List<Header>, body: Buffer, onWritten: () -> Unit) {
        if (isDisconnected) return onWritten()
        // What is left of the body is read and dropped, so that the next request of the connection can follow.
        resume()
        response.begin(status, headers, isClosing())
        response.putHeader("Content-Length", body.length().toString())
        pending.add(response.end(body).onComplete { onWritten() })
    }

    override fun beginStream(status: Int, headers: List<Header>) {
        if (isDisconnected) return
        response.begin(status, headers, isClosing())
        response.setChunked(true)
    }

    override fun write(bytes: Buffer): Boolean {
        if (isDisconnected) return true
        response.write(bytes)
        return !response.writeQueueFull()
    }

    override fun onWritable(action: () -> Unit) {
        response.drainHandler {
            response.drainHandler(null)
            action()
        }
    }

    override fun end() {
        if (!isDisconnected) pending.add(response.end())
    }

    override fun abort() {
        if (!isDisconnected) response.reset()
    }

    override fun onDisconnect(action: () -> Unit) {
        onGone = action
        if (isDisconnected) action()
    }

    private fun disconnected() {
        if (isEnded || isDisconnected) return
        isDisconnected = true
        onEnded()
        onGone?.invoke()
    }

    private fun responseEnded() {
        if (isEnded || isDisconnected) return
        isEnded = true
        onEnded()
    }
}
