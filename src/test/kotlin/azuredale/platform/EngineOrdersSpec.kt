package azuredale.platform

import azuredale.configuration.BackendServer
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.standin.PlatformFaults
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EngineOrdersSpec {
    private val server =
        BackendServer(
            ServerId("engine-1"),
            PoolId("models"),
            NetworkAddress("127.0.0.1", 1),
            FailureDomain("south-a"),
            slots = 4,
        )
    private val desired = DesiredState(modelVersions = setOf(ModelVersion("llama@4")), role = EngineRole.DECODE)

    /** An engine that applies orders, checking tokens or not, and reports the state of [lag] reads ago. */
    private class FakeEngine(
        private val checksFencing: Boolean = false,
        private val lag: Int = 0,
        private val ignoredOrders: Int = 0,
    ) : EngineClient {
        val tokens = mutableListOf<Long>()
        val sendDeadlines = mutableListOf<Timestamp>()
        var highestToken = 0L
        private val states = mutableListOf(EngineState(emptySet(), emptySet(), EngineRole.SERVE))
        private var reads = 0

        override suspend fun order(
            engine: NetworkAddress,
            desired: DesiredState,
            fencingToken: Long,
            deadline: Timestamp,
        ): OrderAnswer {
            tokens += fencingToken
            sendDeadlines += deadline
            if (checksFencing && fencingToken < highestToken) return OrderAnswer.STALE_TOKEN
            highestToken = fencingToken
            if (tokens.size <= ignoredOrders) return OrderAnswer.UNKNOWN
            states += EngineState(desired.modelVersions.orEmpty(), desired.adapters.orEmpty(), desired.role)
            return OrderAnswer.ACCEPTED
        }

        override suspend fun state(engine: NetworkAddress, deadline: Timestamp): EngineState =
            if (reads++ < lag) states.first() else states.last()
    }

    private fun PlatformFixture.orders(engine: EngineClient, clock: Clock = this.clock) =
        EngineOrders(client, engine, clock) { "nonce-${System.nanoTime()}" }

    @Test
    fun `counts only once the engine reports the ordered state`() = PlatformFixture.run {
        // Guards against an order taken for done because it was accepted.
        val engine = FakeEngine(lag = 3)
        val result = orders(engine).order(server, desired)
        assertTrue(assertIs<OrderResult.Verified>(result).state.satisfies(desired))
        assertEquals(1, engine.tokens.size)
    }

    @Test
    fun `sends a lost order again under the same token`() = PlatformFixture.run {
        val engine = FakeEngine(ignoredOrders = 1)
        assertIs<OrderResult.Verified>(orders(engine).order(server, desired))
        assertEquals(2, engine.tokens.size)
        assertEquals(1, engine.tokens.distinct().size)
    }

    @Test
    fun `uses a higher token for each later holder`() = PlatformFixture.run {
        // Guards against an engine that cannot tell an old order from a new one.
        val engine = FakeEngine()
        repeat(3) { orders(engine).order(server, desired) }
        assertEquals(engine.tokens.sorted().distinct(), engine.tokens)
    }

    @Test
    fun `is superseded when the engine has seen a newer token`() = PlatformFixture.run {
        val engine = FakeEngine(checksFencing = true).apply { highestToken = Long.MAX_VALUE }
        assertEquals(OrderResult.Superseded, orders(engine).order(server, desired))
    }

    @Test
    fun `sends nothing while another router orders the same engine`() = PlatformFixture.run { scope ->
        // Guards against two routers that switch an engine back and forth.
        val slow = FakeEngine(lag = 15)
        val first = scope.async { orders(slow).order(server, desired) }
        while (slow.tokens.isEmpty()) delay(5)
        val second = FakeEngine()
        assertEquals(OrderResult.HeldElsewhere, orders(second).order(server, desired))
        assertTrue(second.tokens.isEmpty())
        assertIs<OrderResult.Verified>(first.await())
    }

    @Test
    fun `finds its own key after a lost reply`() = PlatformFixture.run {
        // Guards against a lost reply that blocks the engine until the lease ends.
        standIn.faults = PlatformFaults(lostReplies = 1)
        assertIs<OrderResult.Verified>(orders(FakeEngine()).order(server, desired))
    }

    @Test
    fun `sends nothing without a lease`() = PlatformFixture.run {
        standIn.faults = PlatformFaults(isDown = true)
        val engine = FakeEngine()
        assertIs<OrderResult.Unavailable>(orders(engine).order(server, desired))
        assertTrue(engine.tokens.isEmpty())
    }

    @Test
    fun `sends nothing late when the process was paused with the lease in hand`() = PlatformFixture.run {
        // Guards against an order that reaches an engine, which ignores tokens, after the next holder's order.
        val engine = FakeEngine()
        var calls = 0
        val start = clock()
        // The clock jumps once the lease is granted and the key is created, to within the margin before its end.
        val paused: Clock = {
            val passed = FASTER * clock().microsecondsSince(start)
            start.plusMicroseconds(passed).plusSeconds(if (calls++ < CALLS_BEFORE_PAUSE) 0 else PAUSE_SECONDS)
        }
        val result = orders(engine, paused).order(server, desired)
        assertTrue(engine.tokens.isEmpty(), "an order was sent ${engine.tokens}")
        assertIs<OrderResult.Unverified>(result)
    }

    @Nested
    inner class Http {
        @Test
        fun `speaks the engines' protocol`() = PlatformFixture.run {
            var state = JsonObject().put("role", "serve")
            val http =
                vertx.createHttpServer().requestHandler { request ->
                    request.body().onSuccess { body ->
                        if (request.path() == "/orders") state = JsonObject(body)
                        request
                            .response()
                            .setStatusCode(
                                if (state.containsKey("stale")) 409 else 200,
                            ).end(state.encode())
                    }
                }
            val engine = NetworkAddress("127.0.0.1", http.listen(0, "127.0.0.1").coAwait().actualPort())
            val engines = HttpEngineClient(vertx, clock)
            assertEquals(OrderAnswer.ACCEPTED, engines.order(engine, desired, 42, deadline()))
            assertEquals(42, state.getLong("fencingToken"))
            assertEquals(true, engines.state(engine, deadline())?.satisfies(desired))
            http.close().coAwait()
            assertEquals(OrderAnswer.UNKNOWN, engines.order(engine, desired, 43, deadline()))
            assertNull(engines.state(engine, deadline()))
        }
    }

    private companion object {
        const val CALLS_BEFORE_PAUSE = 2
        const val PAUSE_SECONDS = 15L
        const val FASTER = 4L
    }
}
