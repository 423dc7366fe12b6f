package azuredale.measure

import azuredale.identity.TeamId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class FairnessGapSpec {
    private val one = TeamId("one")
    private val two = TeamId("two")
    private val three = TeamId("three")
    private val gap = FairnessGap(mapOf(one to 1.0, two to 2.0, three to 1.0))

    @Nested
    inner class ByHand {
        @Test
        fun `takes the range of the difference, not its last value`() {
            // Guards against losing an early gap that later service evens out.
            gap.waitingChanged(one, 1)
            gap.waitingChanged(two, 1)
            gap.served(one, 6.0, 1) // D = 6
            gap.served(two, 16.0, 2) // D = 6 - 8 = -2
            gap.served(one, 2.0, 3) // D = 0; range 6 - (-2) = 8
            assertEquals(8.0, gap.figure?.gap)
        }

        @Test
        fun `counts only service while both wait`() {
            // Guards against charging a team for service in the absence of the other.
            gap.waitingChanged(one, 1)
            gap.served(one, 100.0, 1)
            gap.waitingChanged(two, 1)
            gap.served(one, 3.0, 2)
            gap.waitingChanged(two, -1)
            gap.served(one, 50.0, 3)
            gap.waitingChanged(two, 1)
            gap.served(two, 4.0, 4)
            assertEquals(3.0, gap.figure?.gap)
        }

        @Test
        fun `counts simultaneous deliveries together`() {
            // Guards against a gap that arises only from the order in which simultaneous deliveries are recorded.
            gap.waitingChanged(one, 1)
            gap.waitingChanged(three, 1)
            gap.served(one, 5.0, 1)
            gap.served(three, 5.0, 1)
            gap.served(one, 1.0, 2)
            assertEquals(1.0, gap.figure?.gap)
        }

        @Test
        fun `is absent until two teams wait together and zero before service`() {
            // Guards against reporting a perfect gap where nothing was compared.
            gap.waitingChanged(one, 2)
            gap.served(one, 5.0, 1)
            assertNull(gap.figure)
            gap.waitingChanged(two, 1)
            assertEquals(0.0, gap.figure?.gap)
        }

        @Test
        fun `discards earlier service at a restart and ignores later service after a freeze`() {
            // Guards against warm-up or a fault leaking into a later window.
            gap.waitingChanged(one, 1)
            gap.waitingChanged(two, 1)
            gap.served(one, 9.0, 1)
            gap.restart()
            gap.served(one, 2.0, 2)
            gap.freeze()
            gap.served(one, 30.0, 3)
            assertEquals(GapFigure(2.0, two, one), gap.figure)
        }
    }

    @Nested
    inner class AgainstDefinition {
        @Test
        fun `equals the largest difference over all intervals`() {
            // Guards against a one-pass computation that differs from the definition of the gap.
            repeat(200) { seed -> check(seed) }
        }

        private fun check(seed: Int) {
            val random = Random(seed)
            val teams = listOf(one, two, three)
            val shares = mapOf(one to 1.0, two to 2.0, three to 4.0)
            val measured = FairnessGap(shares)
            val service = teams.associateWith { 0.0 }.toMutableMap()
            val waiting = teams.associateWith { 0 }.toMutableMap()
            val states = ArrayList<Pair<Map<TeamId, Double>, Map<TeamId, Int>>>()
            for (time in 1L..60L) {
                val team = teams.random(random)
                val change = if (waiting.getValue(team) > 0 && random.nextInt(4) == 0) -1 else 1
                if (random.nextInt(3) == 0) {
                    measured.waitingChanged(team, change)
                    waiting.merge(team, change, Int::plus)
                } else {
                    val amount = random.nextInt(1, 9).toDouble()
                    measured.served(team, amount, time)
                    service.merge(team, amount / shares.getValue(team), Double::plus)
                }
                states += service.toMap() to waiting.toMap()
            }
            val expected =
                teams.flatMap { f ->
                    teams.filter { it != f }.mapNotNull { g -> byDefinition(states, f, g) }
                }
            assertEquals(expected.maxOrNull(), measured.figure?.gap, "seed $seed")
        }

        private fun byDefinition(
            states: List<Pair<Map<TeamId, Double>, Map<TeamId, Int>>>,
            f: TeamId,
            g: TeamId,
        ): Double? {
            var largest: Double? = null
            for (begin in states.indices) {
                for (end in begin until states.size) {
                    val (_, waiting) = states[end]
                    if (waiting.getValue(f) == 0 || waiting.getValue(g) == 0) break
                    val received =
                        listOf(
                            f,
                            g,
                        ).map { states[end].first.getValue(it) - states[begin].first.getValue(it) }
                    largest = maxOf(largest ?: 0.0, kotlin.math.abs(received[0] - received[1]))
                }
            }
            return largest
        }
    }
}
