package azuredale.selftest

import azuredale.engine.ServerLoad
import azuredale.gateway.FleetBounds
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind
import azuredale.platform.StoreKey
import azuredale.standin.BackendBehaviour
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that wait in a running router for room in the memory of the servers. */
class RoomWaitSpec {
    /** Runs [test] with a router whose servers are full, and usually free 100,000 tokens a second. */
    private fun withFullServers(test: suspend GatewayFixture.() -> Unit) = runBlocking {
        val vertx = Vertx.vertx()
        val routerVertx = Vertx.vertx()
        try {
            withTimeout(60_000) {
                val fixture = GatewayFixture(vertx, routerVertx, FleetBounds(evacuationBoundMilliseconds = 5_000))
                fixture.start()
                fixture.servers.forEach { it.behaviour = { BackendBehaviour.Stream(first = 1, last = 2) } }
                val demand = fixture.statistics().memory.demand(PoolId("pool-a"))
                val now = systemClock()()
                repeat(60) { demand.recordAsked(15_000, 8_700, now) }
                demand.recordFreed(400_000, now)
                repeat(2) { fixture.addCommitted(it, COMMITTED) }
                fixture.test()
            }
        } finally {
            runCatching { routerVertx.close().coAwait() }
            vertx.close().coAwait()
        }
    }

    private fun GatewayFixture.statistics() = checkNotNull(daemon).gateway.statistics

    private fun GatewayFixture.addCommitted(index: Int, tokens: Int) =
        statistics().loads.add(ServerId("server-$index"), ServerLoad(committedTokens = tokens))

    private fun GatewayFixture.wasSent() = servers.any { server -> server.calls.any { it.target == PATH } }

    private suspend fun GatewayFixture.whileWaiting(action: suspend () -> Unit): ReceivedResponse = coroutineScope {
        val response: Deferred<ReceivedResponse> = async { get(PATH, prompt = PARTS) }
        while (statistics().roomQueue.size == 0) {
            check(response.isActive) { "${response.await().status} ${response.await().text}" }
            delay(2)
        }
        action()
        response.await().also { assertEquals(0, statistics().roomQueue.size) }
    }

    private fun GatewayFixture.assertNotRun(kind: ErrorKind, response: ReceivedResponse) {
        assertEquals(kind.text, response.text.trim())
        assertEquals(kind.status, response.status)
        assertTrue(!wasSent(), "a request that was refused as not run was sent")
    }

    @Nested
    inner class Room {
        @Test
        fun `that comes in time ends the wait at a server`() = withFullServers {
            val response = whileWaiting { addCommitted(0, -COMMITTED) }
            assertEquals(200, response.status)
            assertTrue(wasSent())
        }

        @Test
        fun `that does not come in time leaves the request refused with a time to return`() = withFullServers {
            val response = whileWaiting { delay(1) }
            assertNotRun(ErrorKind.PREDICTED_LATE, response)
            assertTrue("retry-after" in response.headers)
        }
    }

    @Nested
    inner class Waiting {
        @Test
        fun `ends at once when all servers are evacuated`() = withFullServers {
            // Guards against callers that wait for servers that may get nothing any more.
            assertNotRun(
                ErrorKind.NO_ELIGIBLE_SERVER,
                whileWaiting { platform.put(StoreKey.EVACUATIONS + "domain", "{}") },
            )
        }

        @Test
        fun `ends at once when the key is revoked`() = withFullServers {
            val response = whileWaiting { writeCatalog(version = 2, keys = emptyList()) }
            assertNotRun(ErrorKind.UNKNOWN_KEY, response)
        }

        @Test
        fun `ends at once when the servers leave`() = withFullServers {
            val response =
                whileWaiting { repeat(2) { register(it, readinessAddress, state = "draining") } }
            assertNotRun(ErrorKind.NO_ELIGIBLE_SERVER, response)
        }

        @Test
        fun `ends at once when the router stops`() = withFullServers {
            assertNotRun(ErrorKind.DRAINING, whileWaiting { checkNotNull(daemon).gateway.stop() })
        }
    }

    private companion object {
        const val PATH = "/stream/waits"
        const val PARTS = "a:100,b:100,c:100"

        /** Nearly all of a server's memory. */
        const val COMMITTED = 99_000
    }
}
