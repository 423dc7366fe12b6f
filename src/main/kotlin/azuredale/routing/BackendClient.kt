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

/** Sends one request to a backend server and reads the response. */
internal interface AttemptHandler {
    suspend fun read(request: HttpClientRequest): AttemptResult

    /** Returns the result for a connection that failed after part of the request may have been sent. */
    fun broken(detail: String): AttemptResult
}

/** HTTP client for backend servers. Reuses connections for idempotent requests only. */
internal class BackendClient(
    vertx: Vertx,
    private val settings: EdgeSettings,
) {
    private val pool = PoolOptions().setHttp1MaxSize(settings.maximumConnectionsPerServer)
    private val keepAliveClient =
        vertx.createHttpClient(
            options().setKeepAlive(true).setKeepAliveTimeout(IDLE_TIMEOUT_SECONDS),
            pool,
        )
    private val singleUseClient = vertx.createHttpClient(options().setKeepAlive(false), pool)

    /** Runs one attempt with [handler]. Resets the request unless it completes, so that the server stops working. */
    suspend fun run(exchange: Exchange, address: NetworkAddress, handler: AttemptHandler): AttemptResult {
        val call = exchange.call
        val opened = open(Target(call.method, address, call.uri, exchange.isIdempotent))
        val request = opened.request ?: return AttemptResult.NotConnected(opened.detail)
        var isComplete = false
        try {
            val result =
                try {
                    handler.read(request)
                } catch (cancelled: CancellationException) {
                    throw cancelled
                } catch (failure: Exception) {
                    handler.broken(failure.message ?: failure.javaClass.simpleName)
                }
            isComplete = result is AttemptResult.Completed
            return result
        } finally {
            if (!isComplete) request.reset()
        }
    }

    /** Sends [body] and returns the response head. The response is paused, so that its body can be read on demand. */
    suspend fun send(request: HttpClientRequest, body: Buffer): HttpClientResponse = request
        .send(body)
        // Must pause before the event loop reads more data. The empty handler absorbs failures of unread responses.
        .map { it.pause().exceptionHandler { } }
        .coAwait()

    /**
     * Opens a connection. Without a request in the result, none could be opened and no byte was sent.
     *
     * A non-idempotent request always gets a new connection: when a server closes a reused connection, it is unclear
     * whether it had already read the request.
     */
    private suspend fun open(target: Target): OpenResult {
        val client: HttpClient = if (target.isIdempotent) keepAliveClient else singleUseClient
        val options =
            RequestOptions()
                .setMethod(target.method)
                .setHost(target.address.host)
                .setPort(target.address.port)
                .setURI(target.uri)
                .setConnectTimeout(settings.connectTimeoutMilliseconds.toLong())
        val opening = client.request(options)
        var request: HttpClientRequest? = null
        try {
            // Waiting for a pooled connection has no timeout of its own, so limit the whole step.
            request = withTimeoutOrNull(OPEN_TIMEOUT_FACTOR * settings.connectTimeoutMilliseconds) { opening.coAwait() }
            return OpenResult(request, if (request == null) "no connection in time" else "")
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            return OpenResult(null, failure.message ?: failure.javaClass.simpleName)
        } finally {
            // Release a connection that becomes available after the timeout.
            if (request == null) opening.onSuccess { it.reset() }
        }
    }

    suspend fun close() {
        keepAliveClient.close().coAwait()
        singleUseClient.close().coAwait()
    }

    private fun options() = HttpClientOptions()
        .setConnectTimeout(settings.connectTimeoutMilliseconds)
        .setMaxHeaderSize(settings.maximumHeadBytes)
        .setTcpNoDelay(true)

    private class Target(
        val method: HttpMethod,
        val address: NetworkAddress,
        val uri: String,
        val isIdempotent: Boolean,
    )

    private class OpenResult(
        val request: HttpClientRequest?,
        val detail: String,
    )

    private companion object {
        // Common HTTP servers close idle connections after 60 s.
        const val IDLE_TIMEOUT_SECONDS = 30
        const val OPEN_TIMEOUT_FACTOR = 2L
    }
}
