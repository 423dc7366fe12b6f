package azuredale.measure

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class ScenarioSpec {
    private fun parse(text: String) = ScenarioParser("x.scenario", defaultSeed = 9).parse(text.trimIndent())

    private fun run(text: String): List<String> = ScenarioRun(parse(text)) { seed ->
        FleetOptions(seed, { settings, _, _ -> QuotaCore(settings) }, { _, _, _ -> 1 }, { 1 })
    }.run()

    @Nested
    inner class Language {
        @Test
        fun `names file and line of an invalid statement`() {
            // Guards against a misspelt fault that is skipped, so that its scenario passes without it.
            val expected =
                mapOf(
                    "profile helmsway\nat 2s crush router-1" to
                        "x.scenario:2: unknown statement 'at 2s crush router-1'",
                    "profile helmsway\n\nexpect no team" to "x.scenario:3: unknown statement 'expect no team'",
                    "profile helmsway\nat 2s crash router-99" to
                        "x.scenario:2: router or group 'router-99' does not exist",
                    "profile helmsway\nat 2x crash router-1" to
                        "x.scenario:2: '2x' is not a time such as 2s or 300ms",
                    "profile helmsway\nat 90s crash router-1" to
                        "x.scenario:2: the scenario ends before this statement",
                    "seed 3" to "x.scenario:1: the statement 'profile NAME' is missing",
                    "" to "x.scenario:1: the statement 'profile NAME' is missing",
                )
            assertEquals(expected, expected.mapValues { assertFailsWith<ScenarioException> { parse(it.key) }.message })
        }

        @Test
        fun `takes the seed of the command line unless the file names one`() {
            // Guards against printing a seed that does not reproduce the failure.
            assertEquals(9, parse("profile helmsway").seed)
            assertEquals(4, parse("profile helmsway\nseed 4").seed)
        }
    }

    @Nested
    inner class Checks {
        @Test
        fun `reports failed expectations with their line`() {
            // Guards against expectations that always pass.
            val failures =
                run(
                    """
                profile helmsway
                load for 5s
                at 4s crash router-1
                expect new work on models between 0s and 1s
                expect no new work on batch blue after 4s
                expect no new work by router-2 between 4s and 6s
                expect router-2 drained by 6s
                expect utilisation of models at least 2 between 4s and 6s
                expect gap of models at most 0.1 times global between 4s and 8s
                expect at least 100000 complete answers
                expect some answer DRAINING
                expect at most 0 calls per second to platform
                expect no team without service for 0s
                """,
                )
            assertEquals((4..13).toList(), failures.map { it.split(":")[1].toInt() }, failures.toString())
        }

        @Test
        fun `passes expectations that hold`() {
            // Guards against expectations that always fail.
            val failures =
                run(
                    """
                profile helmsway
                load for 6s
                at 5s cut router-1 from platform
                at 5s crash router-2
                expect new work on models between 3s and 6s
                expect no new work by router-2 between 6s and 9s
                expect router-2 drained by 6s
                expect utilisation of models at least 10% between 4s and 6s
                expect at least 10 complete answers
                expect at most 0 answers DRAINING
                """,
                )
            assertEquals(emptyList(), failures)
        }

        @Test
        fun `prints seed and last events on failure`() {
            // Guards against a failure that cannot be reproduced or diagnosed.
            val file = kotlin.io.path.createTempFile(suffix = ".scenario")
            file.toFile().writeText("profile helmsway\nseed 5\nload for 2s\nexpect some answer DRAINING\n")
            val output = StringBuilder()
            val options = MeasureOptions({ settings, _, _ -> QuotaCore(settings) }, scenario = file)
            assertEquals(MeasureExit.FAILED, runMeasure(options, output))
            assertContains(output.toString(), "failed, seed 5")
            assertContains(output.toString(), "router-1 ->")
        }
    }
}
