package azuredale.standin

import azuredale.identity.NetworkAddress
import azuredale.platform.PlatformHeader
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentLinkedQueue

/** A request received by [BackendStandIn]. */
public class BackendCall(
    private val request: HttpServerRequest,
    public val body: Buffer,
) {
    /** Request id, or empty if there is none. */
    public val id: String get() = request.getHeader(PlatformHeader.REQUEST_ID).orEmpty()

    /** Path with the query. */
    public val target: String get() = request.uri()

    /** Team that sent the request, or null on a route that allows anonymous callers. */
    public val team: String? get() = request.getHeader(PlatformHeader.TEAM)

    /** Prompt parts as sent, empty for a request without a prompt. */
    public val promptParts: String get() = request.getHeader(PlatformHeader.PROMPT_PARTS).orEmpty()

    /** Number of the last event that the caller received, or null for a stream from its start. */
    public val lastEvent: Long? get() = request.getHeader(PlatformHeader.LAST_EVENT)?.toLongOrNull()

    internal val response: HttpServerResponse get() = request.response()

    internal fun closeConnection() {
        request.connection().close()
    }
}

/** What a [BackendStandIn] does with one request. */
public sealed interface BackendBehaviour {
    /** Responds with [text], complete and with proof that the server ran the request. */
    public data class Respond(
        val text: String,
        val status: Int = 200,
    ) : BackendBehaviour

    /** Streams the events from [first] to [last]; closes the connection after event [breaksAfter], if given. */
    public data class Stream(
        val first: Long,
        val last: Long,
        val breaksAfter: Long? = null,
    ) : BackendBehaviour

    /** Responds that the request was not run. */
    public data class NotExecuted(val status: Int = 503) : BackendBehaviour

    /** Runs the request and closes the connection without a response. */
    public data object Disconnect : BackendBehaviour

    /** Runs the request and never responds. */
    public data object NeverRespond : BackendBehaviour

    /** Responds with [text] but without proof that the server ran the request. */
    public data class RespondUnproven(val text: String) : BackendBehaviour
}

/**
 * Simulates a backend server that uses the platform's headers.
 *
 * ```
 * val server = BackendStandIn(vertx)
 * val address = server.start()
 * server.behaviour = { BackendBehaviour.NotExecuted() }
 * ```
 */
public class BackendStandIn(private val vertx: Vertx) {
    private val executed = ConcurrentLinkedQueue<String>()
    private val received = ConcurrentLinkedQueue<BackendCall>()
    private var server: HttpServer? = null

    /** Selects the behaviour for each request. */
    @Volatile
    public var behaviour: (BackendCall) -> BackendBehaviour = { BackendBehaviour.Respond("ok") }

    /** Ids of the requests that were run, in order. */
    public val runs: List<String> get() = executed.toList()

    /** All requests received, in order. */
    public val calls: List<BackendCall> get() = received.toList()

    /** Listens on a free port of the loopback interface; returns the address. */
    public suspend fun start(): NetworkAddress {
        val started =
            vertx
                .createHttpServer()
                .requestHandler { request ->
                    request.body().onSuccess { body -> serve(BackendCall(request, body)) }
                }.listen(0, LOOPBACK)
                .coAwait()
        server = started
        return NetworkAddress(LOOPBACK, started.actualPort())
    }

    /** Closes the listener and every connection. */
    public suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun serve(call: BackendCall) {
        received += call
        val selected = behaviour(call)
        if (selected !is BackendBehaviour.NotExecuted) executed += call.id
        when (selected) {
            is BackendBehaviour.Respond -> stampedResponse(call).setStatusCode(selected.status).end(selected.text)
            is BackendBehaviour.Stream -> stream(call, selected)
            is BackendBehaviour.NotExecuted ->
                call.response
                    .putHeader(PlatformHeader.REQUEST_ID, call.id)
                    .putHeader(PlatformHeader.NOT_EXECUTED, "1")
                    .setStatusCode(selected.status)
                    .end()
            is BackendBehaviour.Disconnect -> call.closeConnection()
            is BackendBehaviour.NeverRespond -> Unit
            is BackendBehaviour.RespondUnproven ->
                call.response.putHeader(PlatformHeader.REQUEST_ID, call.id).end(selected.text)
        }
    }

    private fun stampedResponse(call: BackendCall): HttpServerResponse = call.response
        .putHeader(PlatformHeader.REQUEST_ID, call.id)
        .putHeader(PlatformHeader.RESPONSE_STAMP, "stand-in")

    private fun stream(call: BackendCall, selected: BackendBehaviour.Stream) {
        val response = stampedResponse(call).putHeader("Content-Type", "text/event-stream").setChunked(true)
        val last = minOf(selected.last, selected.breaksAfter ?: selected.last)
        for (number in selected.first..last) response.write("id: $number\ndata: event $number\n\n")
        if (selected.breaksAfter == null) {
            response.end()
        } else {
            // The delay lets the events be sent before the connection is closed.
            vertx.setTimer(BREAK_MILLISECONDS) { call.closeConnection() }
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BREAK_MILLISECONDS = 30L
    }
}
