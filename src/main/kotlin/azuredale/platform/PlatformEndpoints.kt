package azuredale.platform

import azuredale.explain.ExplainEndpoint
import azuredale.gateway.AddressCaller
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Response to a caller that asks for router addresses. */
@Serializable
internal class AddressResponse(
    val addresses: List<String>,
    @SerialName("ttl-s") val lifetimeSeconds: Double,
)

/** Queries by which [PlatformEndpoints] reads the router's state. */
internal class EndpointCallbacks(
    /** Whether callers should come to this router. */
    val isReady: () -> Boolean,
    /** Addresses of routers for a caller, and their lifetime in seconds. */
    val addresses: (AddressCaller) -> Pair<List<NetworkAddress>, Double>,
    /** Metrics in the Prometheus text format. */
    val metrics: () -> String,
    /** Status and text of the answer to an operator's question about a request. */
    val explain: (String) -> Pair<Int, String>,
)

/** HTTP endpoints for the platform and for callers: readiness, router addresses and metrics. */
internal class PlatformEndpoints(
    private val vertx: Vertx,
    private val callbacks: EndpointCallbacks,
) {
    private val servers = mutableListOf<HttpServer>()

    /** Listens on [addresses]; each listener serves every endpoint. */
    suspend fun start(addresses: Set<NetworkAddress>) {
        addresses.forEach { address ->
            val options =
                HttpServerOptions()
                    .setHost(address.host)
                    .setPort(address.port)
                    .setHttp2ClearTextEnabled(false)
                    .setIdleTimeout(IDLE_SECONDS)
            servers +=
                vertx
                    .createHttpServer(options)
                    .requestHandler(::answer)
                    .listen()
                    .coAwait()
        }
    }

    private fun answer(request: HttpServerRequest) {
        val response = request.response()
        when {
            request.method() == HttpMethod.POST && request.path() == ExplainEndpoint.PATH -> explain(request)
            request.method() != HttpMethod.GET -> response.setStatusCode(METHOD_NOT_ALLOWED).end()
            request.path() == PlatformPath.READY ->
                response
                    .setStatusCode(
                        if (callbacks.isReady()) OK else UNAVAILABLE,
                    ).end()
            request.path() == PlatformPath.ADDRESSES -> addresses(request)
            request.path() == METRICS_PATH ->
                response.putHeader("Content-Type", "text/plain; version=0.0.4").end(callbacks.metrics())
            else -> response.setStatusCode(NOT_FOUND).end()
        }
    }

    private fun explain(request: HttpServerRequest) {
        val body = Buffer.buffer()
        request.handler { if (body.length() <= ExplainEndpoint.MAXIMUM_BYTES) body.appendBuffer(it) }
        request.endHandler {
            val (status, text) = callbacks.explain(body.toString())
            request.response().setStatusCode(status).end(text)
        }
    }

    private fun addresses(request: HttpServerRequest) {
        val (addresses, seconds) = callbacks.addresses(caller(request))
        if (addresses.isEmpty()) {
            request.response().setStatusCode(UNAVAILABLE).end()
            return
        }
        val body = platformJson.encodeToString(AddressResponse(addresses.map { it.toString() }, seconds))
        request.response().putHeader("Content-Type", "application/json").end(body)
    }

    private fun caller(request: HttpServerRequest) = AddressCaller(
        host = request.remoteAddress()?.hostAddress().orEmpty(),
        name = request.getParam("name").orEmpty(),
        failureDomain = FailureDomain(request.getParam("zone").orEmpty()),
    )

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
        const val UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"

        /** Callers and health checks repeat a request within seconds, or open a new connection. */
        const val IDLE_SECONDS = 30
    }
}
