package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.RequestNumber
import azuredale.logging.EventLog
import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.outcome.Outcome
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.VerticleBase
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * HTTP server for callers and HTTP client for backend servers.
 *
 * Posts events to [events]. The daemon passes the resulting effects to [execute].
 *
 * ```
 * val edge = HttpEdge(settings, vertx, events, document, planner::plan, clock)
 * edge.start()
 * effects.forEach { edge.execute(it) }
 * edge.stop()
 * ```
 */
public class HttpEdge(
    private val settings: EdgeSettings,
    private val vertx: Vertx,
    private val events: NodeEventSink,
    document: () -> AcceptedDocument?,
    addresses: (AddressQuery, Timestamp) -> Outcome<AddressPlan>,
    clock: Clock,
) {
    private val log = EventLog("azuredale.routing")
    private val scope = CoroutineScope(SupervisorJob())
    private val exchanges = ConcurrentHashMap<RequestNumber, Exchange>()
    private val backends = BackendClient(vertx, settings)
    private val engines = EngineClient(backends, events, settings, clock)
    private val services = ServiceClient(backends, settings)
    private val callers = CallerEdge(vertx, settings, CallerEdgeDependencies(document, addresses, ::accept, clock))
    private val servers = mutableListOf<HttpServer>()

    /** Port that the server listens on, or 0 before [start]. */
    public val actualPort: Int get() = servers.firstOrNull()?.actualPort() ?: 0

    /** Number of requests in progress. */
    public val openRequests: Int get() = exchanges.size

    /** Starts listening for callers. */
    public suspend fun start() {
        val options =
            HttpServerOptions()
                .setMaxHeaderSize(settings.maximumHeadBytes)
                .setIdleTimeout((settings.requestDeadlineSeconds + IDLE_MARGIN_SECONDS).toInt())
                .setIdleTimeoutUnit(TimeUnit.SECONDS)
                .setTcpNoDelay(true)
        // With port 0, every listener would get a different port, so start only one.
        val instances = if (settings.address.port == 0) 1 else settings.eventLoops
        repeat(instances) { servers += listen(options) }
        log.write(RoutingLogEvent.EDGE_STARTED, "host" to settings.address.host, "port" to actualPort)
    }

    /** Starts a listener on its own event loop. Connections are distributed among the listeners of a port. */
    private suspend fun listen(options: HttpServerOptions): HttpServer {
        val opened = Promise.promise<HttpServer>()
        val verticle =
            object : VerticleBase() {
                override fun start(): Future<*> {
                    val router = callers.router()
                    val server =
                        vertx
                            .createHttpServer(options)
                            .connectionHandler(::limitFirstHead)
                            .requestHandler { request ->
                                request.connection().let(firstHeadTimers::remove)?.let(vertx::cancelTimer)
                                router.handle(request)
                            }
                    return server.listen(settings.address.port, settings.address.host).onComplete(opened)
                }
            }
        vertx.deployVerticle(verticle).coAwait()
        return opened.future().coAwait()
    }

    /** Executes [effect]. Ignores effects that are not about callers or backend servers. */
    public suspend fun execute(effect: NodeEffect) {
        when (effect) {
            is NodeEffect.StartAttempt -> start(effect)
            is NodeEffect.CancelAttempt -> onLoop(exchanges[effect.request]) { it.cancel(effect.attempt) }
            is NodeEffect.FinishRequest -> onLoop(exchanges.remove(effect.request)) { it.finish(effect.result) }
            else -> Unit
        }
    }

    /** Stops listening and closes all connections. For a graceful shutdown, drain the node first. */
    public suspend fun stop() {
        servers.forEach { it.close().coAwait() }
        scope.cancel()
        backends.close()
        log.write(RoutingLogEvent.EDGE_STOPPED, "open" to exchanges.size)
    }

    private val firstHeadTimers = ConcurrentHashMap<HttpConnection, Long>()

    /** Closes [connection] if its first request head does not arrive before the timeout. */
    private fun limitFirstHead(connection: HttpConnection) {
        val timer =
            vertx.setTimer(settings.headTimeoutSeconds * MILLISECONDS_PER_SECOND) {
                if (firstHeadTimers.remove(connection) != null) connection.close()
            }
        firstHeadTimers[connection] = timer
        connection.closeHandler { firstHeadTimers.remove(connection)?.let(vertx::cancelTimer) }
    }

    private fun accept(exchange: Exchange, request: CallerRequest) {
        exchanges[exchange.number] = exchange
        exchange.response.stream.response.closeHandler {
            if (!exchange.isFinished) {
                exchange.response.stream.callerGone()
                events.post(NodeEvent.CallerGone(exchange.number))
            }
        }
        events.post(NodeEvent.RequestReceived(request))
    }

    private fun start(effect: NodeEffect.StartAttempt) {
        val exchange = exchanges[effect.request]
        if (exchange == null) {
            ended(effect, AttemptResult.NotConnected("the request has ended"))
            return
        }
        onLoop(exchange) {
            val job = scope.launch(exchange.context.dispatcher(), CoroutineStart.LAZY) { attempt(exchange, effect) }
            exchange.started(effect.attempt, job)
            job.start()
        }
    }

    private suspend fun attempt(exchange: Exchange, effect: NodeEffect.StartAttempt) {
        val result =
            try {
                when (val response = exchange.response) {
                    is CompletionResponse -> engines.run(exchange, response, effect)
                    is ServiceResponse -> services.run(exchange, response, effect)
                    else -> error("no client for ${response.javaClass.simpleName}")
                }
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                log.write(RoutingLogEvent.EDGE_FAULT, "request" to effect.request, cause = failure)
                AttemptResult.Broken(0.0, effect.resumeAt, failure.javaClass.simpleName)
            }
        ended(effect, result)
    }

    private fun ended(effect: NodeEffect.StartAttempt, result: AttemptResult): Unit =
        events.post(NodeEvent.AttemptEnded(effect.request, effect.attempt, result))

    private fun onLoop(exchange: Exchange?, block: (Exchange) -> Unit) {
        exchange?.context?.runOnContext { block(exchange) }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val IDLE_MARGIN_SECONDS = 30L
    }
}
