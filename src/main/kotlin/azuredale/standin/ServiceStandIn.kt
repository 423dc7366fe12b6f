package azuredale.standin

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.routing.value
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentLinkedQueue

/** One call that [ServiceStandIn] ran, as received. */
public data class ServiceExecution(
    val request: String,
    val method: String,
    val uri: String,
    val body: String,
)

/**
 * Simulates a plain service for tests: echoes each call and records every execution, so that a test can count them.
 *
 * @param echoesRequest whether responses carry the request id and attempt; not every service returns them.
 * @param padding number of bytes added to each response.
 */
public class ServiceStandIn(
    private val vertx: Vertx,
    private val address: NetworkAddress = NetworkAddress("127.0.0.1", 0),
    private val echoesRequest: Boolean = true,
    private val padding: Int = 0,
) {
    private val log = EventLog("azuredale.standin")
    private val executed = ConcurrentLinkedQueue<ServiceExecution>()
    private var server: HttpServer? = null

    /** Selects the fault of a call; null injects none. */
    @Volatile
    public var fault: (ServiceExecution) -> ServiceFault? = { null }

    /** All executions so far, in order. */
    public val executions: List<ServiceExecution> get() = executed.toList()

    /** Port on which the stand-in listens. */
    public val port: Int get() = server?.actualPort() ?: 0

    /** Starts the HTTP server. */
    public suspend fun start() {
        server =
            vertx
                .createHttpServer()
                .requestHandler { request -> request.body().onSuccess { handle(request, it) } }
                .listen(address.port, address.host)
                .coAwait()
        log.write(StandInLogEvent.SERVICE_STARTED, "port" to port)
    }

    /** Closes the server and its connections. */
    public suspend fun stop() {
        server?.close()?.coAwait()
    }

    private fun handle(request: HttpServerRequest, body: Buffer) {
        val id = request.getHeader("Azuredale-Request").orEmpty()
        val execution = ServiceExecution(id, request.method().name(), request.uri(), body.toString())
        val fault = fault(execution)
        if (fault != null) log.write(StandInLogEvent.FAULT_INJECTED, "fault" to fault)
        when (fault) {
            ServiceFault.DisconnectBeforeRun -> request.connection().close()
            is ServiceFault.Status -> request.response().setStatusCode(fault.status).end()
            else -> {
                executed += execution
                answer(request, execution, fault)
            }
        }
    }

    private fun answer(request: HttpServerRequest, execution: ServiceExecution, fault: ServiceFault?) {
        when (fault) {
            ServiceFault.DisconnectAfterRun -> request.connection().close()
            is ServiceFault.DelayResponse ->
                vertx.setTimer(
                    fault.milliseconds,
                ) { send(request, execution, execution.request) }
            is ServiceFault.RespondToOtherRequest -> send(request, execution, fault.id)
            ServiceFault.DisconnectMidResponse -> {
                val bytes = content(execution)
                request.response().putHeader("content-length", bytes.length().toString())
                request
                    .response()
                    .write(
                        bytes.getBuffer(0, bytes.length() / 2),
                    ).onComplete { request.connection().close() }
            }
            else -> send(request, execution, execution.request)
        }
    }

    private fun send(request: HttpServerRequest, execution: ServiceExecution, id: String) {
        val response = request.response()
        if (response.closed()) return
        if (echoesRequest) {
            response.putHeader("Azuredale-Request", id)
            request.headers().value("Azuredale-Attempt")?.let { response.putHeader("Azuredale-Attempt", it) }
        }
        response.putHeader("content-type", "application/json").end(content(execution))
    }

    private fun content(execution: ServiceExecution): Buffer = JsonObject()
        .put("method", execution.method)
        .put("uri", execution.uri)
        .put("body", execution.body)
        .put("padding", "x".repeat(padding))
        .toBuffer()
}
