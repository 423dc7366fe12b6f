package azuredale.platform

import azuredale.gateway.GatewayDaemon
import azuredale.gateway.GatewaySettings
import azuredale.gateway.WireFunctions
import azuredale.store.CallRateLimiter
import azuredale.time.Timestamp
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import sun.misc.Signal
import java.util.concurrent.CountDownLatch

/** Joins the adapter and the decisions to one process. */
public class PlatformProcess(private val settings: GatewaySettings) {
    private val stopped = CountDownLatch(1)

    /** Runs until the process is told to stop; returns its exit code. */
    public fun run(): Int {
        val vertx =
            Vertx.vertx(
                VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1),
            )
        vertx.runOnContext {
            val daemon = start(vertx)
            stopOnSignal(vertx, daemon)
        }
        // The latch loads no classes, so that the event loop is the only thread that reads them at start.
        stopped.await()
        return 0
    }

    /** Starts the router on the current event loop of [vertx]; sockets open soon after. */
    internal fun start(vertx: Vertx): GatewayDaemon {
        val clock = systemClock()
        val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
        val budget = CallRateLimiter(CALLS_PER_SECOND, CALL_BURST, clock)
        val store = StoreClient(vertx, settings.storeAddress, budget, clock)
        val daemon =
            GatewayDaemon(
                vertx = vertx,
                settings = settings,
                clock = clock,
                timeOfDay = { Timestamp.ofMilliseconds(System.currentTimeMillis()) },
                wire =
                    WireFunctions(
                        reads = StoreReads(store),
                        registry = RouterRegistry(store),
                        format = AnswerWire,
                        responses = BackendWire,
                        encode = BackendWire::encode,
                        decode = CallerWire::decode,
                    ),
                scope = scope,
            )
        val functions =
            EndpointFunctions(
                isReady = daemon.gateway::isReady,
                addresses = { daemon.gateway.addresses() },
                metrics = daemon.gateway.metrics::scrape,
            )
        CoroutineScope(vertx.dispatcher()).launch {
            PlatformEndpoints(vertx, functions).start(setOf(settings.readinessAddress, settings.directoryAddress))
            daemon.start()
        }
        return daemon
    }

    private fun stopOnSignal(vertx: Vertx, daemon: GatewayDaemon) {
        val main = CoroutineScope(vertx.dispatcher())
        Signal.handle(Signal("TERM")) {
            vertx.runOnContext {
                main.launch {
                    daemon.stop()
                    stopped.countDown()
                }
            }
        }
        Signal.handle(Signal("HUP")) { }
    }

    private companion object {
        /** Far above what a router needs on a calm day, far below what the store allows one router. */
        const val CALLS_PER_SECOND = 20.0
        const val CALL_BURST = 40
    }
}
