package azuredale.selftest

import azuredale.standin.BackendBehaviour
import azuredale.standin.BackendCall
import azuredale.standin.PlatformFaults
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GatewaySpec {
    private fun withGateway(test: suspend GatewayFixture.() -> Unit) = runBlocking {
        val vertx = Vertx.vertx()
        try {
            withTimeout(60_000) {
                val fixture = GatewayFixture(vertx)
                fixture.start()
                fixture.test()
            }
        } finally {
            vertx.close().coAwait()
        }
    }

    private fun GatewayFixture.setBehaviour(behaviour: (BackendCall) -> BackendBehaviour) =
        servers.forEach { it.behaviour = behaviour }

    private fun GatewayFixture.runsOf(target: String) =
        servers.sumOf { server -> server.calls.filter { it.target == target && it.id in server.runs }.size }

    private fun GatewayFixture.arrivalsOf(target: String) =
        servers.sumOf { server -> server.calls.count { it.target == target } }

    /**
     * Server behaviour, the status that the caller must receive, and how often servers may run the request.
     *
     * A router that has not started a request within a third of its time refuses it, so only the case that ends at its
     * deadline has a short one.
     */
    enum class OutcomeCase(
        val behaviour: BackendBehaviour,
        val path: String,
        val status: Int,
        val runs: IntRange,
        val remainingMilliseconds: Long = 6_000,
    ) {
        // Guards against reporting "not run" for a request that a server has run, and against running it twice.
        ONCE_RESET(BackendBehaviour.Disconnect, "/once/", 502, 1..1),
        ONCE_SILENT(BackendBehaviour.NeverRespond, "/once/", 504, 1..1, remainingMilliseconds = 1_500),
        ONCE_NOT_EXECUTED(BackendBehaviour.NotExecuted(), "/once/", 503, 0..0),
        ONCE_MISDIRECTED(BackendBehaviour.NotExecuted(421), "/once/", 503, 0..0),

        // Guards against reporting success without proof that a server ran the request.
        ONCE_UNPROVEN(BackendBehaviour.RespondUnproven("x"), "/once/", 502, 1..1),
        ONCE_FAILED(BackendBehaviour.Respond("failed", 500), "/once/", 500, 1..1),

        // Guards against trying more servers than the route allows.
        PLAIN_RESET(BackendBehaviour.Disconnect, "/plain/", 502, 1..2),
        PLAIN_NOT_EXECUTED(BackendBehaviour.NotExecuted(), "/plain/", 503, 0..0),
    }

    @Nested
    inner class Outcomes {
        @ParameterizedTest
        @EnumSource(OutcomeCase::class)
        fun `state correctly whether a request was run`(case: OutcomeCase) = withGateway {
            setBehaviour { case.behaviour }
            val answer = get(case.path + "x", remainingMilliseconds = case.remainingMilliseconds)
            assertEquals(case.status, answer.status, answer.text)
            assertTrue(runsOf(case.path + "x") in case.runs, "${runsOf(case.path + "x")} runs")
            assertTrue(arrivalsOf(case.path + "x") <= 2)
        }

        @Test
        fun `are unknown if only the last of several servers refused the request`() = withGateway {
            // Guards against reporting "not run" for a request that an earlier attempt may have run.
            servers[0].behaviour = { BackendBehaviour.Disconnect }
            servers[1].behaviour = { BackendBehaviour.NotExecuted() }
            repeat(4) { assertEquals(502, get("/plain/$it").status) }
        }

        @Test
        fun `send an idempotent request to another server after a failure`() = withGateway {
            setBehaviour { BackendBehaviour.Respond("ok") }
            servers[0].behaviour = { BackendBehaviour.Disconnect }
            repeat(4) { assertEquals("ok", get("/plain/$it").text) }
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `continue at another server after the last event of the first one`() = withGateway {
            // Guards against missing or duplicated events and against events of two different runs.
            setBehaviour { call ->
                val after = call.lastEvent
                if (after == null) {
                    BackendBehaviour.Stream(first = 1, last = 5, breaksAfter = 2)
                } else {
                    BackendBehaviour.Stream(first = after + 1, last = 5)
                }
            }
            val answer = get("/stream/x", prompt = "a:100,b:100,c:100")
            assertEquals((1..5).joinToString("") { "id: $it\ndata: event $it\n\n" }, answer.text)
        }

        @Test
        fun `are not ended as complete when no server finishes them`() = withGateway {
            setBehaviour { call ->
                val first = (call.lastEvent ?: 0) + 1
                BackendBehaviour.Stream(first, last = 9, breaksAfter = first)
            }
            val result = runCatching { get("/stream/x", prompt = "a:100,b:100,c:100") }
            assertTrue(result.isFailure, "a broken stream looked complete: ${result.getOrNull()?.text}")
        }
    }

    @Nested
    inner class Keys {
        @Test
        fun `are refused soon after they are revoked`() = withGateway {
            // Guards against a revoked key that keeps working while the store is reachable.
            assertEquals(200, get("/plain/x").status)
            writeCatalog(version = 2, keys = listOf("other"))
            withTimeout(2_000) { while (get("/plain/x").status != 401) delay(50) }
            assertEquals(200, get("/plain/x", key = "other").status)
        }

        @Test
        fun `are refused as not run once the store has been unreachable for the revocation bound`() = withGateway {
            // Guards against a router that accepts a key that it can no longer verify.
            platform.faults = PlatformFaults(isDown = true)
            withTimeout(8_000) { while (get("/plain/x").status != 503) delay(100) }
            val arrived = arrivalsOf("/plain/late")
            assertEquals(503, get("/plain/late").status)
            assertEquals(arrived, arrivalsOf("/plain/late"))
            platform.faults = PlatformFaults()
            withTimeout(4_000) { while (get("/plain/x").status != 200) delay(50) }
        }
    }

    @Nested
    inner class Servers {
        @Test
        fun `get no new requests once they drain`() = withGateway {
            assertEquals(200, get("/plain/x").status)
            platform.put(
                "servers/server-0",
                """{"service":"pool-a","address":"127.0.0.1:1","zone":"domain","version":"1","slots":8,""" +
                    """"state":"draining","cold-left-ms":0,"sequence":2}""",
            )
            delay(2_000)
            val before = servers[0].calls.size
            repeat(6) { assertEquals(200, get("/plain/x$it").status) }
            assertEquals(before, servers[0].calls.size)
        }

        @Test
        fun `with malformed registrations are ignored`() = withGateway {
            // Guards against losing all servers because one registration is malformed.
            platform.put("servers/bad", """{"service": 7, "address": [], "state": "asleep"}""")
            delay(1_000)
            assertEquals(200, get("/plain/x").status)
        }
    }

    @Test
    fun `the self-test finds no fault`() = runBlocking {
        assertEquals(emptyList(), SelfTest().run())
    }
}
