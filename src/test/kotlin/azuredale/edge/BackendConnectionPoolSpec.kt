package azuredale.edge

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.gateway.BackendEvent
import azuredale.gateway.BackendRequest
import azuredale.gateway.RequestHead
import azuredale.gateway.SendDecision
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.platform.BackendCodec
import azuredale.selftest.RawServer
import azuredale.time.Timestamp
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals

class BackendConnectionPoolSpec {
    private val clock = systemClock()
    private val head =
        RequestHead(
            id = "request-1",
            method = "GET",
            target = "/plain/x",
            host = "api.example",
            headers = emptyList(),
            key = null,
            remainingMilliseconds = 100,
            lastEventNumber = null,
            prompt = null,
        )

    private fun entry(address: NetworkAddress) = BackendEntry(
        ServerId("server-0"),
        PoolId("pool-a"),
        address,
        FailureDomain("domain"),
        slots = 8,
        state = BackendState.READY,
    )

    private fun decide(deadline: Timestamp): SendDecision = if (clock() < deadline) {
        SendDecision.Send(BackendRequest(head, Buffer.buffer(), null, 100, null))
    } else {
        SendDecision.Refuse(Failure(ErrorKind.DEADLINE_BEFORE_START))
    }

    @Test
    fun `a request is not written after its deadline`() = runBlocking {
        // Guards against a request that waits for its connection and is sent to a server when it is no longer wanted.
        val vertx = Vertx.vertx()
        val routerVertx = Vertx.vertx()
        try {
            withTimeout(10_000) {
                val server = RawServer(vertx)
                val address = server.start()
                val events = ConcurrentLinkedQueue<BackendEvent>()
                routerVertx.runOnContext {
                    val pool = BackendConnectionPool(routerVertx, clock, BackendCodec, BackendCodec::encode) { _, _ -> }
                    val deadline = clock().plusMilliseconds(100)
                    pool.send(entry(address), head.id, requiresRecentConnection = true, { decide(deadline) }) {
                        events += it
                    }
                    // The event loop falls behind while the connection is opened.
                    Thread.sleep(300)
                }
                delay(800)
                assertEquals(0, server.targets.size)
                assertEquals(1, events.size, "$events")
            }
        } finally {
            routerVertx.close().coAwait()
            vertx.close().coAwait()
        }
    }
}
