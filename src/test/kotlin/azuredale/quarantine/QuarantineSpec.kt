package azuredale.quarantine

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.PartId
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load pattern: requests with one prompt part end each server that begins to answer them, among sound requests. */
class QuarantineSpec {
    private var now = Timestamp.ofMilliseconds(1_000_000)
    private val changes = ArrayList<Pair<String, Boolean>>()
    private val quarantine =
        Quarantine(QuarantineCallbacks(onChange = { part, isQuarantined, _ -> changes += part.name to isQuarantined }))
    private var ended = 0
    private var prompts = 0

    /** A prompt with [parts] and a last part of its own. */
    private fun prompt(vararg parts: String) =
        PromptShape((parts.toList() + "last${++prompts}").map { PromptPart(it, 100) }, parts.size * 100 + 100, 20)

    private fun crash(vararg inProgress: PromptShape) = quarantine.recordCrash(nextEnd(), inProgress.toList(), now)

    private fun nextEnd() = ServerEnd(server = ++ended, startedAtMilliseconds = 1)

    private fun pass(milliseconds: Long) {
        now = now.plusMilliseconds(milliseconds)
        quarantine.update(now)
    }

    private fun isQuarantined(part: String) = quarantine.decide(prompt(part), now) is QuarantineDecision.Quarantined

    private fun crashThreeTimes(part: String) = repeat(3) {
        crash(prompt(part))
        pass(400)
    }

    @Nested
    inner class Conclusions {
        @Test
        fun `a part unanswered at three crashes is quarantined, and its companions are not`() {
            // Guards against a request that ends server after server, and against blocking what it shares with others.
            repeat(3) { round ->
                crash(prompt("first", "common", "deadly"), prompt("first", "rare$round"), prompt("first", "other"))
                quarantine.recordAnswer(prompt("first", "other"), now)
                pass(400)
            }
            assertEquals(listOf("deadly" to true), changes)
            assertEquals(QuarantineDecision.Allowed, quarantine.decide(prompt("first", "common", "sound"), now))
        }

        @Test
        fun `a part is confined to one server after its first crash`() {
            // Guards against several servers that end at the same time before a part is known to end them.
            crash(prompt("first", "deadly"))
            quarantine.recordAnswer(prompt("first"), now)
            assertEquals(
                QuarantineDecision.Confined(PartId("deadly")),
                quarantine.decide(prompt("first", "deadly"), now),
            )
        }

        @Test
        fun `a request whose server crashed is repeated until a second crash with its part`() {
            // Guards against sound requests that fail with their server, and against a deadly one that is sent on.
            crash(prompt("deadly"))
            assertTrue(quarantine.mayRepeat(prompt("deadly"), now))
            crash(prompt("deadly"))
            assertTrue(!quarantine.mayRepeat(prompt("deadly"), now))
        }

        @Test
        fun `a rack that fails at once quarantines nothing`() {
            // Guards against a new part that is blocked because many servers fail for a common reason.
            repeat(8) { crash(prompt("new", "hot")) }
            pass(2_000)
            assertEquals(emptyList(), changes)
        }

        @Test
        fun `servers that end again and again under sound requests quarantine nothing`() {
            // Guards against sound parts that are blocked while servers go down and up for a reason of their own.
            val random = Random(7)
            repeat(150) {
                val inProgress = List(6) { prompt("first", "session${random.nextInt(30)}") }
                crash(*inProgress.take(4).toTypedArray())
                inProgress.drop(1).forEach { quarantine.recordAnswer(it, now) }
                pass(300)
            }
            assertEquals(emptyList(), changes)
        }

        @Test
        fun `two deadly parts at the same time are both found`() {
            // Guards against a second part that hides behind the first.
            repeat(4) {
                crash(prompt("first", "deadly-a"))
                pass(300)
                crash(prompt("first", "deadly-b"))
                quarantine.recordAnswer(prompt("first"), now)
                pass(300)
            }
            assertEquals(setOf("deadly-a" to true, "deadly-b" to true), changes.toSet())
        }

        @Test
        fun `the last part of a prompt is never quarantined`() {
            // Guards against a table full of parts that never come again.
            repeat(4) {
                quarantine.recordCrash(nextEnd(), listOf(PromptShape(listOf(PromptPart("only", 1)), 1, 1)), now)
                pass(400)
            }
            assertEquals(emptyList(), changes)
        }

        @Test
        fun `one crash reported by many routers counts once`() {
            // Guards against a conclusion from a single crash.
            val end = nextEnd()
            repeat(8) {
                quarantine.recordCrash(end, listOf(prompt("part")), now)
                pass(400)
            }
            assertEquals(emptyList(), changes)
        }
    }

    @Nested
    inner class Answers {
        @Test
        fun `an answer before a crash protects a part`() {
            // Guards against parts in constant use that are blocked since some of their requests are always unanswered.
            repeat(5) {
                quarantine.recordAnswer(prompt("busy"), now)
                crash(prompt("busy"))
                pass(400)
            }
            assertEquals(emptyList(), changes)
        }

        @Test
        fun `an answer that another router saw protects a part`() {
            // Guards against routers that decide by their own requests alone.
            repeat(4) {
                val end = nextEnd()
                quarantine.recordCrash(end, listOf(prompt("busy")), now)
                quarantine.mergeCrash(CrashRecord(end, emptyMap(), setOf(PartId("busy"))), now)
                pass(400)
            }
            assertEquals(emptyList(), changes)
        }

        @Test
        fun `an answer releases a quarantined part`() {
            // Guards against a part that stays blocked although a request in progress shows that it is sound.
            crashThreeTimes("part")
            quarantine.recordAnswer(prompt("part"), now)
            pass(20)
            assertEquals(listOf("part" to true, "part" to false), changes)
        }

        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
        fun `the order in which reports arrive does not matter`(seed: Int) {
            // Guards against routers that come to different conclusions from the same observations.
            val random = Random(seed)
            val records =
                List(12) {
                    val suspects = List(3) { PartId("p${random.nextInt(6)}") }.associateWith { 1 }
                    val cleared = List(random.nextInt(2)) { PartId("p${random.nextInt(6)}") }.toSet()
                    CrashRecord(ServerEnd(random.nextInt(6), 1), suspects, cleared)
                }
            val counts =
                listOf(records, records.shuffled(random)).map { order ->
                    val evidence = CrashEvidence()
                    order.forEach { evidence.merge(it, now) }
                    List(6) { part -> evidence.count(PartId("p$part")) { false } }
                }
            assertEquals(counts[0], counts[1])
        }
    }

    @Nested
    inner class Table {
        private fun adopt(revision: Long, vararg parts: Pair<String, Int>) = quarantine.adoptTable(
            QuarantineTable(
                StorePoint(StoreEra.NONE, revision),
                parts.associate { (part, trials) ->
                    PartId(part) to
                        trials
                },
            ),
            now,
            now,
        )

        private fun decision(part: String) =
            assertIs<QuarantineDecision.Quarantined>(quarantine.decide(prompt(part), now))

        @Test
        fun `a restarted router refuses what the table holds`() {
            // Guards against servers that end again because routers forget when they restart.
            adopt(5, "deadly" to 0)
            assertTrue(isQuarantined("deadly"))
        }

        @Test
        fun `an older table does not replace a newer one`() {
            // Guards against a late report that releases a part.
            adopt(5, "deadly" to 0)
            adopt(4)
            assertTrue(isQuarantined("deadly"))
        }

        @Test
        fun `operators release a part by removing its entry`() {
            // Guards against a part that stays blocked by a router's own evidence after operators have lifted it.
            crashThreeTimes("part")
            adopt(5, "part" to 0)
            adopt(6)
            pass(1_000)
            assertTrue(!isQuarantined("part"))
        }

        @Test
        fun `a part that was released stays so when the store returns from an older copy`() {
            // Guards against sound prompts that are refused again because of an entry that was removed.
            adopt(5, "part" to 0)
            quarantine.recordAnswer(prompt("part"), now)
            adopt(6)
            val copy = QuarantineTable(StorePoint(StoreEra(1), 5), mapOf(PartId("part") to 0))
            quarantine.adoptTable(copy, now, now)
            assertTrue(!isQuarantined("part"))
        }

        @Test
        fun `trials come later each time and end`() {
            // Guards against servers that end for ever because a part is tried again and again.
            adopt(5, "part" to 0)
            val first = assertIs<Timestamp>(decision("part").trialAt)
            assertEquals(60_000_000L, first.microsecondsSince(now))
            adopt(6, "part" to 1)
            assertEquals(120_000_000L, assertIs<Timestamp>(decision("part").trialAt).microsecondsSince(now))
            adopt(7, "part" to 2)
            assertNull(decision("part").trialAt)
        }
    }

    @Nested
    inner class Bounds {
        @Test
        fun `callers with endless new parts do not fill the memory of a router`() {
            // Guards against tables that grow with the number of parts that callers invent.
            repeat(500) { round ->
                crash(*Array(100) { prompt("a$round-$it", "b$round-$it") })
                pass(5)
                quarantine.recordAnswer(prompt("c$round"), now)
            }
            val crashes = quarantine.recentCrashes(now)
            assertTrue(crashes.size <= CrashEvidence.MAXIMUM_CRASHES)
            assertTrue(crashes.all { it.suspects.size <= CrashEvidence.MAXIMUM_PARTS })
            assertTrue(quarantine.size <= Quarantine.MAXIMUM_PARTS)
        }
    }
}
