package azuredale.engine

import azuredale.identity.ServerId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: streams with 6,000 kept tokens and short ones without, on servers whose first events may be late. */
class PrefixOutcomesSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val outcomes = PrefixOutcomes()
    private val noise = listOf(-6.0, 4.0, -3.0, 9.0, -7.0, 3.0)

    private fun record(server: Int, round: Int, keptTokens: Int, late: Double, trade: PrefixTrade? = null) =
        outcomes.recordFirstEvent(
            PrefixFirstEvent(
                server = ServerId("server-$server"),
                keptTokens = keptTokens,
                keptMilliseconds = keptTokens / 100.0,
                lateMilliseconds = late,
                at = start.plusMilliseconds(50L * round),
                milliseconds = 100 + late,
                trade = trade,
            ),
        )

    /** Rounds of a short stream and of one with kept parts at each of 4 servers. */
    private fun rounds(lateMilliseconds: (server: Int) -> Double, missingMilliseconds: Double = 0.0) =
        repeat(40) { round ->
            repeat(4) { server ->
                record(server, round, 0, lateMilliseconds(server) + noise[(round + server) % noise.size])
                val late = lateMilliseconds(server) + missingMilliseconds + noise[(round + server + 2) % noise.size]
                record(server, round, 6_000, late)
            }
        }

    private fun foundShare() = outcomes.foundTokens.toDouble() / (outcomes.predictedTokens - outcomes.undecidedTokens)

    @Nested
    inner class LateForAll {
        @Test
        fun `first events leave kept parts found`() {
            // Guards against operators who take a slow network or busy servers for memory that is too small.
            rounds({ 200.0 })
            assertTrue(foundShare() > 0.85, "found ${foundShare()}, error ${outcomes.errorMilliseconds}")
            assertTrue(outcomes.undecidedTokens < outcomes.predictedTokens / 4, "undecided ${outcomes.undecidedTokens}")
        }

        @Test
        fun `first events of one server leave its kept parts found`() {
            rounds({ server -> if (server == 0) 200.0 else 0.0 })
            assertTrue(foundShare() > 0.85, "found ${foundShare()}, error ${outcomes.errorMilliseconds}")
        }

        @Test
        fun `first events still show parts that are not kept`() {
            rounds({ 200.0 }, missingMilliseconds = 60.0)
            assertTrue(foundShare() < 0.15, "found ${foundShare()}, error ${outcomes.errorMilliseconds}")
        }
    }

    @Nested
    inner class Errors {
        private val errors = listOf(-80.0, 20.0, -10.0, 80.0, 10.0, -20.0, 5.0, 0.0)

        private fun share(missingMilliseconds: Double): Double {
            repeat(400) { round ->
                record(0, round, 0, errors[round % errors.size])
                record(0, round, 6_000, missingMilliseconds + errors[(round * 3 + 1) % errors.size])
            }
            return foundShare()
        }

        @Test
        fun `of single predictions that exceed the prefill do not count kept parts as missing`() {
            // Guards against a figure that falls with the spread of the waits at busy servers.
            assertEquals(1.0, share(missingMilliseconds = 0.0), 0.1)
        }

        @Test
        fun `of single predictions that exceed the prefill do not count missing parts as kept`() {
            assertEquals(0.0, share(missingMilliseconds = 60.0), 0.1)
        }
    }

    @Nested
    inner class Gains {
        @Test
        fun `are the prefill saved and the wait for it at a server that keeps parts`() {
            record(0, 0, 6_000, late = 0.0, PrefixTrade(null, chosenMilliseconds = 100.0, soonestMilliseconds = 70.0))
            assertEquals(listOf(60.0, 30.0), with(outcomes) { listOf(savedMilliseconds, waitedMilliseconds) })
        }

        @Test
        fun `are the time to the event against that predicted at a holder that was passed over`() {
            val trade = PrefixTrade(holderMilliseconds = 400.0, chosenMilliseconds = 100.0, soonestMilliseconds = 100.0)
            record(0, 0, 0, late = 10.0, trade)
            record(0, 400, 0, late = 350.0, trade)
            assertEquals(290.0, outcomes.soonerMilliseconds, 0.1)
            assertEquals(50.0, outcomes.laterMilliseconds, 0.1)
        }
    }
}
