package azuredale.routing

import azuredale.identity.NetworkAddress
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/** Sends one request to a backend server and reads its answer. */
internal interface AttemptReading {
    suspend fun read(request: HttpClientRequest): AttemptResult

    /** The result when the connection fails after a byte may have been written. */
    fun broken(detail: String): AttemptResult
}

/** Connections to backend servers. */
internal class BackendClient(
    vertx: Vertx,
    private val settings: EdgeSettings,
) {
    private val pool = PoolOptions().setHttp1MaxSize(settings.connectionsPerServer)
    private val reusing = vertx.createHttpClient(options().setKeepAlive(true).setKeepAliveTimeout(IDLE_SECONDS), pool)
    private val fresh = vertx.createHttpClient(options().setKeepAlive(false), pool)

    /** Runs one attempt with [reading]; when it does not complete, closing the connection tells the server to stop. */
    suspend fun run(exchange: Exchange, address: NetworkAddress, reading: AttemptReading): AttemptResult {
        val call = exchange.call
        val opened = open(Target(call.method, address, call.uri, exchange.isIdempotent))
        val request = opened.request ?: return AttemptResult.NotConnected(opened.detail)
        var isWhole = false
        try {
            val result =
                try {
                    reading.read(request)
                } catch (cancelled: CancellationException) {
                    throw cancelled
                } catch (failure: Exception) {
                    reading.broken(failure.message ?: failure.javaClass.simpleName)
                }
            isWhole = result is AttemptResult.Completed
            return result
        } finally {
            if (!isWhole) request.reset()
        }
    }

    /** Sends [body] and returns the head of the answer, whose body is read piece by piece. */
    suspend fun send(request: HttpClientRequest, body: Buffer): HttpClientResponse = request
        .send(body)
        // Paused before the event loop reads on; the failure handler covers answers that are given up unread.
        .map { it.pause().exceptionHandler { } }
        .coAwait()

    /**
     * Opens a connection; null with the reason when none could be opened, so that no byte was written.
     *
     * A non-idempotent request gets a new connection: when a server closes a reused one, that cannot be told from a
     * failure after the request was read.
     */

    private suspend fun open(target: Target): Opened {
        val client: HttpClient = if (target.isIdempotent) reusing else fresh
        val options =
            RequestOptions()
                .setMethod(target.method)
                .setHost(target.address.host)
                .setPort(target.address.port)
                .setURI(target.uri)
                .setConnectTimeout(settings.connectMilliseconds.toLong())
        val opening = client.request(options)
        var request: HttpClientRequest? = null
        try {
            // The pool's own wait has no limit, so the whole step gets one.
            request = withTimeoutOrNull(OPEN_FACTOR * settings.connectMilliseconds) { opening.coAwait() }
            return Opened(request, if (request == null) "no connection in time" else "")
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            return Opened(null, failure.message ?: failure.javaClass.simpleName)
        } finally {
            // A connection that arrives after the wait was given up goes back to the pool.
            if (request == null) opening.onSuccess { it.reset() }
        }
    }

    suspend fun close() {
        reusing.close().coAwait()
        fresh.close().coAwait()
    }

    private fun options() = HttpClientOptions()
        .setConnectTimeout(settings.connectMilliseconds)
        .setMaxHeaderSize(settings.headerBytes)
        .setTcpNoDelay(true)

    private class Target(
        val method: HttpMethod,
        val address: NetworkAddress,
        val uri: String,
        val isIdempotent: Boolean,
    )

    private class Opened(
        val request: HttpClientRequest?,
        val detail: String,
    )

    private companion object {
        // Shorter than the 60 s after which common HTTP servers close an idle connection.
        const val IDLE_SECONDS = 30
        const val OPEN_FACTOR = 2L
    }
}
