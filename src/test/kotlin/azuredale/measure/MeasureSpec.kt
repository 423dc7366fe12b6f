package azuredale.measure

import azuredale.configuration.Recall
import azuredale.identity.BatchId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MeasureSpec {
    private fun options(seed: Long = 1, misbehaviour: Misbehaviour = Misbehaviour.NONE) = FleetOptions(
        seed = seed,
        createCore = { settings, _, _ -> QuotaCore(settings, misbehaviour) },
        messageSize = { _, _, _ -> 1 },
        datagramSize = { 1 },
    )

    private fun experiment(seed: Long, fault: Fault? = null) =
        Experiment(checkNotNull(Profile.named("pampa-sinal")), fault, options(seed)).run()

    @Nested
    inner class Baselines {
        private val result = experiment(seed = 1)

        @Test
        fun `give the global queue a smaller gap than isolated routers`() {
            // Guards against baselines that do not bracket a scheduler, which would make every ratio meaningless.
            result.profile.pools.forEach { pool ->
                val global =
                    checkNotNull(
                        result.global
                            .meter(pool.id)
                            .windows
                            .first()
                            .gap.figure,
                    ).gap
                val isolated =
                    checkNotNull(
                        result.isolated
                            .meter(pool.id)
                            .windows
                            .first()
                            .gap.figure,
                    ).gap
                assertTrue(
                    global < isolated,
                    "pool ${pool.id}: gap $global of global queue, $isolated of routers alone",
                )
                assertTrue(
                    checkNotNull(
                        result.global
                            .meter(pool.id)
                            .utilisations
                            .first()
                            .share,
                    ) > 0.99,
                    "pool ${pool.id}",
                )
            }
        }

        @Test
        fun `count control traffic of routers only`() {
            // Guards against averaging over backend servers too, which send none and make the mean three times lower.
            assertEquals(result.profile.routers, result.traffic.sent.size)
        }

        @Test
        fun `are identical in two runs with the same seed`() {
            // Guards against unseeded randomness or real time in the harness.
            val texts =
                listOf(result, experiment(seed = 1)).map { run ->
                    StringBuilder()
                        .also {
                            ReportPrinter(
                                run,
                                InvariantCheck(run).violations(),
                            ).printJson(it)
                        }.toString()
                }
            assertEquals(texts[0], texts[1])
        }
    }

    @Nested
    inner class Violations {
        @Test
        fun `reports the violated invariant of each kind of faulty decision code`() {
            // Guards against a harness that reports no violations because it does not check the invariant.
            val expected =
                mapOf(
                    Misbehaviour.NONE to emptySet(),
                    Misbehaviour.BROKEN_AS_COMPLETE to setOf(3),
                    Misbehaviour.BROKEN_AS_NOT_RUN to setOf(4),
                    Misbehaviour.IGNORES_KEYS to setOf(5),
                    Misbehaviour.KEEPS_OLD_DOCUMENT to setOf(6),
                )
            assertEquals(expected, expected.mapValues { (misbehaviour, _) -> violatedBy(misbehaviour) })
        }

        private fun violatedBy(misbehaviour: Misbehaviour): Set<Int> {
            val profile = checkNotNull(Profile.named("helmsway"))
            val queue = EventQueue()
            val work = LoadGenerator(profile, seed = 1, RunTimes.LOAD_START, 12 * EventQueue.SECOND).generate()
            val fleet = Fleet(profile, options(1, misbehaviour), queue, RunRecorder(queue, profile, work, from = 0))
            fleet.callers.areKeysRepeated = true
            fleet.callers.schedule(work)
            queue.at(5 * EventQueue.SECOND) { fleet.kill(fleet.servers.values.first()) }
            queue.at(5 * EventQueue.SECOND) {
                val recall = Recall(BatchId("green"), "faulty")
                fleet.store(profile.document.copy(recalls = mapOf(recall.batch to recall)))
            }
            queue.runUntil(12 * EventQueue.SECOND)
            return fleet.invariants.violations.mapTo(HashSet()) { it.number }
        }
    }

    @Nested
    inner class CommandLine {
        private fun run(profile: String, fault: String?): Pair<Int, String> {
            val output = StringBuilder()
            val options = MeasureOptions({ settings, _, _ -> QuotaCore(settings) }, profile, fault)
            return runMeasure(options, output) to output.toString()
        }

        @Test
        fun `refuses unknown names and lists the known ones`() {
            // Guards against silently running another profile or fault than the requested one.
            val (code, text) = run("pampa-sinal", "fire")
            assertEquals(MeasureExit.USAGE, code)
            assertContains(text, "allotter-lost")
            assertEquals(MeasureExit.USAGE, run("pampa", null).first)
        }

        @Test
        fun `fails when an invariant is violated`() {
            // Guards against exit code 0 for a run with an unbounded gap, which a script would take for success.
            val (code, text) = run("helmsway", "platform-outage")
            assertEquals(MeasureExit.FAILED, code)
            assertContains(text, "promise broken: invariant 1")
        }
    }
}
