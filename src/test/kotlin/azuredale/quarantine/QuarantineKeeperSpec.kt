package azuredale.quarantine

import azuredale.gateway.PromptGate
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptQuarantine
import azuredale.gateway.PromptShape
import azuredale.gateway.ServerEndDetector
import azuredale.gateway.Timer
import azuredale.identity.PartId
import azuredale.logging.EventLog
import azuredale.outcome.ErrorKind
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Routers that share one table in a store which may be unavailable. */
class QuarantineKeeperSpec {
    private class FakeStore : QuarantineStore {
        val trials = LinkedHashMap<PartId, Int>()
        var revision = 1L
        var era = StoreEra.NONE
        var calls = 0
        var isDown = false

        override suspend fun read(deadline: Timestamp): QuarantineTable? {
            calls++
            return if (isDown) null else QuarantineTable(StorePoint(era, revision), trials.toMap())
        }

        override suspend fun add(part: PartId, deadline: Timestamp) = change { trials.putIfAbsent(part, 0) == null }

        override suspend fun remove(part: PartId, deadline: Timestamp) = change { trials.remove(part) != null }

        override suspend fun addTrial(part: PartId, trials: Int, deadline: Timestamp) =
            change { this.trials.replace(part, trials, trials + 1) }

        private fun change(action: () -> Boolean): QuarantineCallResult {
            calls++
            if (isDown) return QuarantineCallResult.Failed("down")
            revision++
            return if (action()) QuarantineCallResult.Done else QuarantineCallResult.Conflict
        }
    }

    private inner class Router(
        rank: Int,
        isDivided: Boolean = false,
    ) {
        val quarantine = Quarantine()
        val keeper =
            QuarantineKeeper(
                quarantine = quarantine,
                store = store,
                clock = { now },
                scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob()),
                rank = { rank },
                isDivided = { isDivided },
                log = EventLog("test"),
            )
        private val ends = ServerEndDetector({ now }, { _, _ -> Timer {} }, { _, _ -> }, { _, _ -> })

        fun gate() = PromptGate(prompt, PromptQuarantine(quarantine, ends, keeper::claimTrial), { now })

        fun refusal() = runBlocking { gate().refusal(now) }
    }

    private var now = Timestamp.ofMilliseconds(1_000_000)
    private val store = FakeStore()
    private val part = PartId("deadly")
    private val prompt = PromptShape(listOf(PromptPart("deadly", 100), PromptPart("last", 100)), 200, 20)

    private fun run(milliseconds: Long, vararg routers: Router) = repeat((milliseconds / 20).toInt()) {
        now = now.plusMilliseconds(20)
        routers.forEach { it.keeper.tick(now) }
    }

    private fun crashThreeTimes(router: Router) = repeat(3) { round ->
        router.quarantine.recordCrash(ServerEnd(round, 1), listOf(prompt), now)
        run(400, router)
    }

    @Nested
    inner class Conclusions {
        @Test
        fun `are stored and reach a router that hears from no other`() {
            // Guards against a divided fleet of which each side lets servers end.
            val first = Router(rank = 0)
            val cutOff = Router(rank = 0, isDivided = true)
            run(100, first, cutOff)
            crashThreeTimes(first)
            run(1_500, first, cutOff)
            assertEquals(ErrorKind.PROMPT_QUARANTINED, cutOff.refusal()?.kind)
        }

        @Test
        fun `are stored as soon as the store is back`() {
            // Guards against a conclusion that is lost with its router, because the store was down when it was drawn.
            val router = Router(rank = 0)
            run(100, router)
            store.isDown = true
            crashThreeTimes(router)
            run(5_000, router)
            assertEquals(ErrorKind.PROMPT_QUARANTINED, router.refusal()?.kind)
            store.isDown = false
            run(1_000, router)
            assertEquals(setOf(part), store.trials.keys)
        }

        @Test
        fun `that the store has lost are stored again`() {
            // Guards against a store that returns from an older copy and releases the parts that it lacks.
            val router = Router(rank = 0)
            run(100, router)
            crashThreeTimes(router)
            run(500, router)
            store.trials.clear()
            store.revision = 1
            store.era = StoreEra(1)
            router.keeper.readAgain()
            repeat(50) {
                run(20, router)
                assertEquals(ErrorKind.PROMPT_QUARANTINED, router.refusal()?.kind)
            }
            assertEquals(setOf(part), store.trials.keys)
        }

        @Test
        fun `that prove wrong are removed from the store`() {
            // Guards against a sound part that stays blocked by its entry.
            val router = Router(rank = 0)
            run(100, router)
            crashThreeTimes(router)
            run(500, router)
            router.quarantine.recordAnswer(prompt, now)
            run(500, router)
            assertEquals(emptySet(), store.trials.keys)
            assertNull(router.refusal())
        }
    }

    @Nested
    inner class Calls {
        @Test
        fun `are few while nothing happens`() {
            // Guards against a price for each router and second.
            val router = Router(rank = 0)
            run(60_000, router)
            assertEquals(true, store.calls <= 13, "${store.calls} calls in a minute")
        }
    }

    @Nested
    inner class Trials {
        @Test
        fun `are made by one request of one router`() {
            // Guards against as many servers that end as there are routers.
            store.trials[part] = 0
            val routers = List(3) { Router(rank = it) }
            run(500, *routers.toTypedArray())
            assertEquals(3, routers.count { it.refusal() != null })
            run(60_000, *routers.toTypedArray())
            assertEquals(2, routers.count { it.refusal() != null })
            run(5_000, *routers.toTypedArray())
            assertEquals(3, routers.count { it.refusal() != null })
        }

        @Test
        fun `wait while the store is down`() {
            // Guards against trials that no other router knows of.
            store.trials[part] = 0
            val router = Router(rank = 0)
            run(500, router)
            store.isDown = true
            run(61_000, router)
            assertNotNull(router.refusal())
        }
    }
}
