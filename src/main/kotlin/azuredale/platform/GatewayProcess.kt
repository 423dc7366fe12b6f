package azuredale.platform

import azuredale.gateway.FatalErrors
import azuredale.gateway.GatewayDaemon
import azuredale.gateway.GatewaySettings
import azuredale.gateway.LoopWatchdog
import azuredale.gateway.PlatformAdapter
import azuredale.store.CallRateLimiter
import azuredale.time.Timestamp
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Runs a router as one process: connects the platform adapter to a [GatewayDaemon]. */
public class GatewayProcess(private val settings: GatewaySettings) {
    private val stopped = CountDownLatch(1)

    /** Runs until the process receives SIGTERM; returns its exit code. */
    public fun run(): Int {
        val vertx =
            Vertx.vertx(
                VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1),
            )
        vertx.exceptionHandler(FatalErrors::handle)
        vertx.runOnContext {
            val daemon = start(vertx)
            stopOnSignal(vertx, daemon)
            watch(vertx)
        }
        // Waiting on a latch loads no classes, so only the event loop loads classes during start-up.
        stopped.await()
        return 0
    }

    /** Starts the router on the current event loop of [vertx]; returns before its sockets are open. */
    internal fun start(vertx: Vertx): GatewayDaemon {
        val clock = systemClock()
        val failures = CoroutineExceptionHandler { _, failure -> FatalErrors.handle(failure) }
        val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob() + failures)
        val rateLimiter = CallRateLimiter(CALLS_PER_SECOND, CALL_BURST, clock)
        val decoder = LargeValueDecoder(vertx)
        val store = StoreClient(vertx, settings.storeAddress, rateLimiter, clock)
        val daemon =
            GatewayDaemon(
                vertx = vertx,
                settings = settings,
                clock = clock,
                wallClock = { Timestamp.ofMilliseconds(System.currentTimeMillis()) },
                adapter =
                    PlatformAdapter(
                        storeReader =
                            PlatformStoreReader(
                                service = store,
                                readsEvacuations = settings.bounds.evacuationBoundMilliseconds != null,
                                observesColdServers = settings.bounds.coldFactor != null,
                                decodeCatalog = { size, decode -> decoder.decode(size, decode) },
                            ),
                        registry = RouterRegistry(store),
                        quarantineStore = QuarantineRegistry(store),
                        versionNotes = VersionNoteRegistry(store),
                        eraNotes = EraRegistry(store),
                        failureHeaders = ErrorResponseFormat,
                        responses = BackendCodec,
                        encode = BackendCodec::encode,
                        encodeRefusal = RefusalEncoder()::encode,
                        preview = CallerRequestDecoder::preview,
                        decode = CallerRequestDecoder::decode,
                    ),
                scope = scope,
            )
        val callbacks =
            EndpointCallbacks(
                isReady = daemon.gateway::isOpen,
                addresses = daemon.gateway::addresses,
                metrics = daemon.gateway.metrics::scrape,
                explain = daemon.gateway.explanations::answer,
            )
        CoroutineScope(vertx.dispatcher()).launch {
            PlatformEndpoints(vertx, callbacks).start(setOf(settings.readinessAddress, settings.directoryAddress))
            daemon.start()
        }
        return daemon
    }

    /** Ends the process if the current event loop stops while other threads run. */
    private fun watch(vertx: Vertx) {
        val eventLoop = Thread.currentThread()
        val progress = AtomicLong()
        vertx.setPeriodic(LoopWatchdog.PERIOD_MILLISECONDS) { progress.incrementAndGet() }
        thread(isDaemon = true, name = "loop-watchdog") {
            val clock = systemClock()
            val watchdog = LoopWatchdog()
            while (true) {
                Thread.sleep(LoopWatchdog.PERIOD_MILLISECONDS)
                if (watchdog.hasStopped(progress.get(), clock())) FatalErrors.loopStopped(eventLoop)
            }
        }
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
        /** Far above a router's normal call rate, and far below the rate that the store allows one router. */
        const val CALLS_PER_SECOND = 20.0
        const val CALL_BURST = 40
    }
}
