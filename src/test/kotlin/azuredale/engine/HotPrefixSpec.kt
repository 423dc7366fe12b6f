package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Load pattern: most requests share one prompt part. */
class HotPrefixSpec {
    private val pool = PoolId("pool-a")
    private val now = Timestamp.ofMilliseconds(1_000_000)
    private val directory =
        ServerDirectory(StorePoint.NONE, (1..6).map { server("server-$it") }.associateBy { it.id })
    private val statistics = ServerStatistics { 400_000 }
    private val selector = ServerSelector({ directory }, statistics)

    private fun server(name: String) = BackendEntry(
        id = ServerId(name),
        pool = pool,
        address = NetworkAddress("10.0.0.1", 80),
        failureDomain = FailureDomain("domain"),
        slots = 48,
        state = BackendState.READY,
    )

    private fun prompt(session: String, own: Int) = PromptShape(
        parts = listOf(PromptPart("shared", 2_500), PromptPart(session, 3_800), PromptPart("own-$own", 2_900)),
        promptTokens = 9_200,
        maximumOutputTokens = 50,
    )

    private fun select(prompt: PromptShape): ServerSelection.Selected {
        val request =
            SelectionRequest(
                pool = pool,
                team = null,
                prompt = prompt,
                origin = FailureDomain("domain"),
                onTimeUntil = now.plusMilliseconds(300),
                deadline = now.plusMilliseconds(6_000),
            )
        return assertIs<ServerSelection.Selected>(selector.select(request, now))
    }

    /** Sends [prompt]: caches its shared parts and adds its load at the selected server. */
    private fun send(prompt: PromptShape): ServerSelection.Selected {
        val selection = select(prompt)
        statistics.cache.record(selection.server.id, prompt.parts.dropLast(1))
        statistics.loads.add(selection.server.id, ServerLoad(selection.uncachedTokens, 1))
        return selection
    }

    @Nested
    inner class Calm {
        @Test
        fun `an idle pool has room although one server only has cached the prompt`() {
            // Guards against teams that are thinned out in a calm pool, because most servers would have to prefill more.
            val first = send(prompt("session", 0))
            statistics.loads.add(first.server.id, ServerLoad(-first.uncachedTokens, -1))
            val selection = select(prompt("session", 1))
            assertEquals(selection.predictedMilliseconds, selection.meanMilliseconds, 0.5)
        }

        @Test
        fun `a session stays at the server that has cached its parts`() {
            // Guards against every server prefilling the same prompt parts.
            val first = send(prompt("session", 0))
            statistics.loads.add(first.server.id, ServerLoad(-first.uncachedTokens, -1))
            repeat(10) {
                val selection = select(prompt("session", it + 1))
                assertEquals(first.server.id, selection.server.id)
                assertEquals(2_900, selection.uncachedTokens)
            }
        }
    }

    @Nested
    inner class Burst {
        @Test
        fun `a burst on one session spreads to other servers before any of them is overloaded`() {
            // Guards against all requests queueing at one server while others are idle.
            val chosen = (1..60).map { send(prompt("session", it)) }
            val loads = directory.entries.keys.map { statistics.loads.localLoad(it).waitingTokens }
            assertTrue(
                chosen.map { it.server.id }.toSet().size >= 4,
                "requests per server: ${chosen.groupingBy { it.server.id }.eachCount()}",
            )
            assertTrue(loads.max() <= 3 * (loads.sum() / loads.size), "waiting tokens: $loads")
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `a server that fails repeatedly is excluded and tried again later`() {
            val first = send(prompt("session", 0)).server.id
            repeat(2) { statistics.circuitBreaker(first).recordFailure(now) }
            assertTrue(select(prompt("session", 1)).server.id != first)
            assertTrue(statistics.circuitBreaker(first).allowsRequest(now.plusMilliseconds(500)))
        }
    }
}
