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
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Load pattern: prompts of 9,200 tokens share 6,300 with their session, on servers of different load and memory. */
class PrefixPlacementSpec {
    private val pool = PoolId("pool-a")
    private val now = Timestamp.ofMilliseconds(1_000_000)
    private val servers = (1..6).map { server("server-$it") }
    private var directory = ServerDirectory(StorePoint.NONE, servers.associateBy { it.id })
    private val router = Router()

    private fun server(name: String) = BackendEntry(
        id = ServerId(name),
        pool = pool,
        address = NetworkAddress("10.0.0.1", 80),
        failureDomain = FailureDomain("domain"),
        slots = 48,
        state = BackendState.READY,
    )

    /** One router, which learns nothing from others unless a test records it. */
    private inner class Router(
        weighsPrefixes: Boolean = true,
        free: (ServerId) -> Long? = { null },
    ) {
        val statistics =
            ServerStatistics(reportDelayMilliseconds = { 300 }, freeTokens = free) { 400_000 }
        private val selector = ServerSelector({ directory }, statistics, weighsPrefixes = weighsPrefixes)

        fun request(prompt: PromptShape) = SelectionRequest(
            pool = pool,
            team = null,
            prompt = prompt,
            origin = FailureDomain("domain"),
            onTimeUntil = now.plusMilliseconds(300),
            deadline = now.plusMilliseconds(6_000),
        )

        fun choose(session: String) = chooseFor(prompt(session))

        fun chooseFor(prompt: PromptShape): BackendEntry =
            assertIs<ServerSelection.Selected>(selector.select(request(prompt), now)).server

        fun cost(session: String, server: BackendEntry): PlacementCost {
            val outline = selector.engines.outline(prompt(session), servers, now)
            return selector.engines.placement(request(prompt(session)), outline, server, now).cost
        }

        fun keep(server: BackendEntry, vararg parts: PromptPart) = statistics.cache.record(server.id, parts.toList())

        fun load(server: BackendEntry, waitingTokens: Int, running: Int) =
            statistics.loads.add(server.id, ServerLoad(waitingTokens, running))
    }

    private fun prompt(session: String) = PromptShape(
        parts = shared(session).toList() + PromptPart("own-$session", 2_900),
        promptTokens = 9_200,
        maximumOutputTokens = 50,
    )

    private fun shared(session: String) = arrayOf(PromptPart("common", 2_500), PromptPart(session, 3_800))

    @Nested
    inner class Wait {
        @Test
        fun `of a full server sends a hot prefix to an empty one, and that is counted`() {
            router.keep(servers[0], *shared("session"))
            router.load(servers[0], waitingTokens = 30_000, running = 48)
            assertNotEquals(servers[0], router.choose("session"))
            assertEquals(1, router.statistics.prefixes.passedOver(PassedOver.WAIT))
        }

        @Test
        fun `that makes every server late leaves a session where its parts are kept`() {
            // Guards against a fleet that reads more and more again under overload.
            router.keep(servers[0], *shared("session"))
            servers.forEach { router.load(it, waitingTokens = 30_000, running = 48) }
            assertEquals(servers[0], router.choose("session"))
        }

        @Test
        fun `that still meets the target keeps a cold prefix at its one holder`() {
            router.keep(servers[0], *shared("session"))
            router.load(servers[0], waitingTokens = 10_000, running = 4)
            assertEquals(servers[0], router.choose("session"))
        }

        @Test
        fun `gives a hot prefix another holder, until its rate deserves no more`() {
            router.keep(servers[0], *shared("session"))
            router.load(servers[0], waitingTokens = 10_000, running = 4)
            repeat(200) { router.statistics.demand.record("session", now.plusMilliseconds(-50L * (200 - it))) }
            assertNotEquals(servers[0], router.choose("session"))
            val values = (1..6).map { PrefixWeighing.valueOfAnotherHolder(12.0, 35.0, it) }
            assertEquals(values.sortedDescending(), values)
            assertTrue(values.last() < 6_300 * PrefillSpeedEstimator.USUAL_MILLISECONDS_PER_TOKEN, "values: $values")
        }

        @Test
        fun `of the requests behind makes reading again dearer at a busy server`() {
            val behind = listOf(4, 24).map { PrefixWeighing.requestsBehind(it, 100.0, 800.0, 20.0, 48) }
            assertEquals(PrefixWeighing.LEAST_BEHIND, behind[0])
            assertTrue(behind[1] > PrefixWeighing.LEAST_BEHIND, "requests behind: $behind")
        }
    }

    @Nested
    inner class Memory {
        @Test
        fun `that is ample leaves the choice to the predicted event and three repeated prefills`() {
            router.keep(servers[0], *shared("session"))
            servers.forEachIndexed { index, server ->
                router.load(server, waitingTokens = 0, running = index)
                val cost = router.cost("session", server)
                val repeated = if (index == 0) 0 else 6_300
                val once = repeated * PrefillSpeedEstimator.USUAL_MILLISECONDS_PER_TOKEN
                assertEquals(3 * once, cost.repeatedMilliseconds, 0.01)
                assertEquals(0.0, cost.evictionMilliseconds)
                assertTrue(cost.affinityMilliseconds < 30)
            }
        }

        @Test
        fun `under pressure is taken where parts yield that nobody asks for`() {
            val router = Router(free = { if (it == servers[0].id || it == servers[1].id) 20_000 else 0 })
            directory = ServerDirectory(StorePoint(StoreEra.NONE, 2), servers.take(2).associateBy { it.id })
            router.keep(servers[0], PromptPart("hot", 20_000))
            router.keep(servers[1], PromptPart("cold", 20_000))
            repeat(5) { router.statistics.demand.record("hot", now) }
            (1..10).forEach { assertEquals(servers[1], router.choose("session-$it")) }
        }

        @Test
        fun `under pressure drops idle parts, but none of a running request`() {
            var free = 20_000L
            val cache = PromptCacheModel { free }
            val (first, second) = listOf("first", "second").map { shared(it).toList() }
            val running = cache.begin(servers[0].id, first)
            cache.record(servers[0].id, second)
            free = 0
            cache.record(servers[0].id, emptyList())
            assertEquals(6_300, cache.cachedTokens(servers[0].id, prompt("first")))
            assertEquals(0, cache.holders("second"))
            running.confirm()
            running.end()
            assertEquals(0, cache.cachedTokens(servers[0].id, prompt("first")))
        }
    }

    @Nested
    inner class SwitchedOff {
        private val plain = Router(weighsPrefixes = false, free = { 1_000 })

        @Test
        fun `charges three repeated prefills, whatever the demand and the memory`() {
            plain.keep(servers[0], *shared("session"))
            repeat(200) { plain.statistics.demand.record("session", now) }
            servers.drop(1).forEach { server ->
                plain.load(server, waitingTokens = 10_000, running = 40)
                val cost = plain.cost("session", server)
                val once = 6_300 * PrefillSpeedEstimator.USUAL_MILLISECONDS_PER_TOKEN
                assertEquals(3 * once, cost.repeatedMilliseconds, 0.01)
                assertEquals(0.0, cost.evictionMilliseconds)
                assertTrue(cost.affinityMilliseconds < 30)
            }
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `of a request before its first event keep none of its parts`() {
            val cache = PromptCacheModel { 100_000 }
            cache.begin(servers[0].id, shared("failed").toList()).end()
            assertEquals(0, cache.holders("failed"))
            val answered = cache.begin(servers[0].id, shared("answered").toList())
            answered.confirm()
            answered.end()
            assertEquals(6_300, cache.cachedTokens(servers[0].id, prompt("answered")))
        }

        @Test
        fun `of a process while a request runs leave nothing behind`() {
            val cache = PromptCacheModel { 100_000 }
            val running = cache.begin(servers[0].id, shared("session").toList())
            cache.clear(servers[0].id)
            running.confirm()
            running.end()
            assertEquals(0, cache.holders("session"))
        }

        @Test
        fun `of a holder move its sessions to one server each, and no other session`() {
            val sessions = (1..60).map { "session-$it" }
            val before = sessions.associateWith(router::choose)
            val gone = before.getValue("session-1")
            directory = ServerDirectory(StorePoint(StoreEra.NONE, 2), (servers - gone).associateBy { it.id })
            router.statistics.updateDirectory(directory, now)
            val after = sessions.associateWith(router::choose)
            assertEquals(before.filterValues { it != gone }, after.filterKeys { before[it] != gone })
        }

        @Test
        fun `of all reports, or a restart, leave routers with the same server for a new session`() {
            // Guards against each router of a large fleet having a new session read at another server, as its own load
            // view prefers, before reports arrive.
            val others = Router()
            servers.forEachIndexed { index, server ->
                router.load(server, waitingTokens = 0, running = index * 7)
                others.load(server, waitingTokens = 0, running = 35 - index * 7)
            }
            repeat(50) { assertEquals(router.choose("session-$it"), others.choose("session-$it")) }
        }
    }

    @Nested
    inner class Outcomes {
        @Test
        fun `count as found only what exceeds the usual error of predictions`() {
            val outcomes = PrefixOutcomes()
            listOf(Triple(6_000, 60.0, -5.0), Triple(6_000, 60.0, 80.0), Triple(500, 5.0, 0.0))
                .forEach { (tokens, kept, late) ->
                    outcomes.recordFirstEvent(PrefixFirstEvent(servers[0].id, tokens, kept, late, now))
                }
            assertEquals(
                listOf(12_500L, 6_000L, 500L),
                with(outcomes) { listOf(predictedTokens, foundTokens, undecidedTokens) },
            )
        }
    }
}
