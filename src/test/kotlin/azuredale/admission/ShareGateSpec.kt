package azuredale.admission

import azuredale.identity.TeamId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: a team asks for several times its fair share. */
class ShareGateSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val usage = TeamUsage()
    private val gate = ShareGate(FairShares(usage)) { 0.5 }
    private val flood = TeamId("flood")
    private val other = TeamId("other")

    private fun contend(granted: Int) {
        usage.recordRequested(flood, 8_000_000, start)
        usage.recordGranted(flood, granted, start)
        usage.recordRequested(other, 8_000_000, start)
        usage.recordGranted(other, 2_000_000 - granted, start)
    }

    private fun admitted(requests: List<Int>) = requests.filter { tokens ->
        gate.mayAdmit(flood, tokens, start).also { if (it) gate.recordAdmitted(flood, tokens) }
    }

    @Nested
    inner class Fractions {
        @ParameterizedTest
        @CsvSource("1000000, 0.137", "500000, 0.2625", "1500000, 0.0125")
        fun `a team gets its share and makes up for what it got before`(granted: Int, fraction: Double) {
            // Guards against a team that gets most because it asks most.
            contend(granted)
            assertEquals(fraction, gate.fraction(flood, start), 0.001)
            assertEquals(fraction * 1_000, admitted(List(1_000) { 9_000 }).size.toDouble(), 1.0)
        }

        @Test
        fun `large and small requests are admitted alike`() {
            // Guards against large requests that are starved by small ones of the same team.
            contend(1_000_000)
            val random = Random(1)
            val requests = List(4_000) { if (random.nextInt(7) == 0) 30_000 else 2_000 }
            val admitted = admitted(requests)
            assertEquals(0.1375 * requests.sum(), admitted.sum().toDouble(), 30_000.0)
            val large = admitted.count { it == 30_000 } / requests.count { it == 30_000 }.toDouble()
            assertTrue(large in 0.1..0.18, "$large of the large requests")
        }

        @Test
        fun `the first requests of a fleet are admitted`() {
            // Guards against a fraction of nothing, while no request has been granted yet.
            usage.recordRequested(flood, 9_000, start)
            assertEquals(1.0, gate.fraction(flood, start))
            assertTrue(gate.mayAdmit(flood, 9_000, start))
            contend(1_000_000)
            val later = start.plusMilliseconds(50)
            assertTrue(List(100) { gate.mayAdmit(flood, 9_000, later) }.any { it })
        }

        @Test
        fun `the gap is a number before and after the first requests are granted`() {
            // Guards against a metric that shows nothing while a fleet is unfair.
            usage.recordRequested(flood, 9_000, start)
            usage.recordRequested(other, 9_000, start)
            assertEquals(0.0, FairShares(usage).current(start).gap)
            contend(1_500_000)
            assertEquals(1.0, FairShares(usage).current(start.plusMilliseconds(50)).gap, 0.01)
        }

        @Test
        fun `a team within its share is not thinned out`() {
            // Guards against small teams that are refused because of a large one.
            contend(1_000_000)
            val small = TeamId("small")
            usage.recordRequested(small, 50_000, start.plusMilliseconds(50))
            assertEquals(1.0, gate.fraction(small, start.plusMilliseconds(50)))
        }
    }
}
