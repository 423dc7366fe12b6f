package azuredale.edge

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.gateway.BackendEvent
import azuredale.gateway.BackendRequest
import azuredale.gateway.RequestHead
import azuredale.gateway.ResponseHead
import azuredale.gateway.SendDecision
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.platform.BackendCodec
import azuredale.selftest.RawServer
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentLinkedQueue

/** The events of one attempt. */
class ReceivedEvents(val events: List<BackendEvent>) {
    val head: ResponseHead? get() = events.filterIsInstance<BackendEvent.Head>().firstOrNull()?.head
    val text: String get() = events.filterIsInstance<BackendEvent.Data>().joinToString("") { "${it.bytes}" }
    val failure: String? get() = events.filterIsInstance<BackendEvent.Failed>().firstOrNull()?.detail
    val isComplete: Boolean get() = BackendEvent.Complete in events
}

/** A connection pool and one [RawServer] to which it connects. */
class BackendPoolFixture(
    private val vertx: Vertx,
    private val routerVertx: Vertx,
) {
    private val context = routerVertx.orCreateContext
    private lateinit var pool: BackendConnectionPool
    private lateinit var address: NetworkAddress
    val clock = systemClock()
    val server = RawServer(vertx)

    suspend fun start() {
        address = server.start()
        context.runOnContext {
            pool = BackendConnectionPool(routerVertx, clock, BackendCodec, BackendCodec::encode) { _, _ -> }
        }
    }

    /** Runs [action] shortly after now, so that what it sends is a segment of its own. */
    fun later(action: () -> Unit) {
        vertx.setTimer(LATER_MILLISECONDS) { action() }
    }

    /**
     * Sends one request to the process named [server] at [address] and returns what arrives within a second.
     *
     * @param stallMilliseconds how long the event loop falls behind while the connection is opened.
     * @param decide decides, once a connection is open, whether the request is written.
     */
    suspend fun exchange(
        server: String,
        id: String,
        body: Buffer = Buffer.buffer(),
        address: NetworkAddress = this.address,
        stallMilliseconds: Long = 0,
        decide: () -> SendDecision = { write(id, body) },
    ): ReceivedEvents {
        val events = ConcurrentLinkedQueue<BackendEvent>()
        val end = CompletableDeferred<Unit>()
        context.runOnContext {
            val attempt =
                pool.send(entry(server, address), id, requiresRecentConnection = false, decide) { event ->
                    events += event
                    if (event is BackendEvent.Complete || event is BackendEvent.Failed) end.complete(Unit)
                }
            routerVertx.setTimer(EXCHANGE_MILLISECONDS) { attempt.cancel() }
            Thread.sleep(stallMilliseconds)
        }
        withTimeoutOrNull(EXCHANGE_MILLISECONDS) { end.await() }
        return ReceivedEvents(events.toList())
    }

    /** The decision to write request [id]. */
    fun write(id: String, body: Buffer = Buffer.buffer()) = SendDecision.Send(
        BackendRequest(
            RequestHead(
                id = id,
                method = if (body.length() == 0) "GET" else "POST",
                target = "/plain/x",
                host = "api.example",
                headers = emptyList(),
                key = null,
                remainingMilliseconds = EXCHANGE_MILLISECONDS,
                lastEventNumber = null,
                prompt = null,
            ),
            body,
            team = null,
            remainingMilliseconds = EXCHANGE_MILLISECONDS,
            lastEventNumber = null,
        ),
    )

    private fun entry(server: String, address: NetworkAddress) = BackendEntry(
        ServerId(server),
        PoolId("pool-a"),
        address,
        FailureDomain("domain"),
        slots = 8,
        state = BackendState.READY,
    )

    private companion object {
        const val LATER_MILLISECONDS = 5L
        const val EXCHANGE_MILLISECONDS = 1_000L
    }
}

/** Runs [test] with a connection pool that has event loops of its own. */
fun withBackendPool(test: suspend BackendPoolFixture.() -> Unit) = runBlocking {
    val vertx = Vertx.vertx()
    val routerVertx = Vertx.vertx()
    try {
        withTimeout(60_000) { BackendPoolFixture(vertx, routerVertx).apply { start() }.test() }
    } finally {
        routerVertx.close().coAwait()
        vertx.close().coAwait()
    }
}
