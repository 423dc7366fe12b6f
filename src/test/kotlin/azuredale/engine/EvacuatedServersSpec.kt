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
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Load pattern: a failure domain is evacuated under load, and the servers of the others have to take it. */
class EvacuatedServersSpec {
    private val now = Timestamp.ofMilliseconds(1_000_000)
    private val evacuated = HashSet<FailureDomain>()
    private val servers =
        List(4) {
            BackendEntry(
                id = ServerId("server-$it"),
                pool = PoolId("pool"),
                address = NetworkAddress("10.0.0.$it", 80),
                failureDomain = FailureDomain(if (it < 2) "a" else "b"),
                slots = 4,
                state = BackendState.READY,
            )
        }
    private val directory = ServerDirectory(StorePoint.NONE, servers.associateBy { it.id })
    private val statistics = ServerStatistics(cacheTokens = { 100_000 })
    private val selector = ServerSelector({ directory }, statistics, evacuated::contains)

    private fun request(vararg tried: Int) = SelectionRequest(
        pool = PoolId("pool"),
        team = null,
        prompt = PromptShape(listOf(PromptPart("part", 1_000)), 1_000, 10),
        origin = FailureDomain("a"),
        onTimeUntil = now.plusMilliseconds(500),
        deadline = now.plusMilliseconds(2_000),
        excluded = tried.mapTo(HashSet()) { servers[it].id },
    )

    @Nested
    inner class Servers {
        @Test
        fun `of an evacuated domain get neither first attempts nor retries`() {
            // Guards against a retry or a resumed stream that falls back on the only servers that are left.
            evacuated += FailureDomain("a")
            repeat(50) { assertTrue(selected(request()) in 2..3) }
            assertEquals(3, selected(request(2)))
            assertIs<ServerSelection.Unavailable>(selector.select(request(2, 3), now))
            assertEquals(Ineligibility.EVACUATED, selector.eligibility.ineligibility(servers[0], request(), now))
        }

        @Test
        fun `chosen before the evacuation get nothing after it`() {
            // Guards against a request that waits for its connection while the domain is evacuated.
            assertTrue(selector.mayUse(servers[0], now))
            evacuated += FailureDomain("a")
            assertFalse(selector.mayUse(servers[0], now))
            assertTrue(selector.mayUse(servers[2], now))
        }

        @Test
        fun `that are left count alone for the predicted latency`() {
            // Guards against admission that still counts on capacity which is gone.
            servers.drop(2).forEach { statistics.loads.add(it.id, ServerLoad(waitingTokens = 50_000, running = 8)) }
            val before = assertIs<ServerSelection.Selected>(selector.select(request(), now))
            evacuated += FailureDomain("a")
            val after = assertIs<ServerSelection.Selected>(selector.select(request(), now))
            assertTrue(after.meanMilliseconds > before.meanMilliseconds * 1.5)
        }

        @Test
        fun `of an unknown domain are not affected`() {
            evacuated += FailureDomain("no such domain")
            assertTrue(servers.all { selector.mayUse(it, now) })
        }
    }

    private fun selected(request: SelectionRequest): Int =
        servers.indexOf(assertIs<ServerSelection.Selected>(selector.select(request, now)).server)
}
