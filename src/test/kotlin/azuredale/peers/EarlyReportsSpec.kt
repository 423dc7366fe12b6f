package azuredale.peers

import azuredale.engine.ServerLoad
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: few routers of a large fleet fill the engines, or demand moves, while the others send little. */
class EarlyReportsSpec {
    enum class Fault { NONE, DEMAND_MOVES, RELAY_LOST, REPORTS_LOST }

    @Nested
    inner class Flood {
        @ParameterizedTest
        @EnumSource
        fun `callers of the other routers are seldom late`(fault: Fault) {
            // Guards against routers that find the engines idle which others have filled since their last reports.
            val before = (1..SEEDS).map { flood(fault, noticeable = null, seed = it) }
            val after = (1..SEEDS).map { flood(fault, NOTICEABLE, seed = it) }
            val late = after.sumOf { it.first } / SEEDS
            assertTrue(late <= LATE_FRACTION, "$late late, without early reports ${before.map { it.first }}")
            val added = after.sumOf { it.second } / SEEDS - before.sumOf { it.second } / SEEDS
            assertTrue(added <= ADDED_BYTES, "$added bytes a second more for each router")
        }

        /** Fraction of late callers of the other routers, and mean bytes that a router sent in a second. */
        private fun flood(fault: Fault, noticeable: Double?, seed: Int): Pair<Double, Long> {
            val fleet = EngineLoadFleet(routers = 80, noticeable, seed)
            val nodes = fleet.exchange.nodes
            fleet.exchange.run(3_000)
            fleet.run(2_000, CALM_RATE) { fleet.random.nextInt(nodes.size) }
            fleet.answers.clear()
            nodes.forEach { it.bytes = 0 }
            var domain = 0
            if (fault == Fault.REPORTS_LOST) fleet.exchange.isLost = { fleet.random.nextInt(10) == 0 }
            repeat(4) { second ->
                if (fault == Fault.DEMAND_MOVES) domain = second % 3
                if (fault == Fault.RELAY_LOST && second == 2) {
                    fleet.exchange.cut += nodes.drop(9).first { it.exchange.isRelay }
                }
                fleet.run(1_000, RATE) {
                    if (fleet.random.nextDouble() <
                        0.75
                    ) {
                        fleet.random.nextInt(3) * 3 + domain
                    } else {
                        fleet.random.nextInt(80)
                    }
                }
            }
            return fleet.lateFraction((9 until 80).toSet()) to fleet.meanBytes() / 4
        }
    }

    @Nested
    inner class Age {
        @ParameterizedTest
        @ValueSource(ints = [16, 76, 128, 390])
        fun `loads that change fast are seldom older than a period of reports`(routers: Int) {
            // Guards against loads that wait for the periods of the reporter, its relay and the reader's relay.
            val ages = ages(routers, NOTICEABLE)
            assertTrue(ages[ages.size * 95 / 100] <= 200, "95th percentile ${ages[ages.size * 95 / 100]} ms")
        }

        @Test
        fun `a fleet without relays reports as before`() {
            // Guards against more messages where loads are known in time.
            assertEquals(ages(12, noticeable = null), ages(12, NOTICEABLE))
        }

        /** Milliseconds since the load of a router that fills an engine was as others know it, in ascending order. */
        private fun ages(routers: Int, noticeable: Double?): List<Int> {
            val fleet = SimulatedExchange(routers, domains = 5, noticeable)
            fleet.run(4_000)
            val source = fleet.nodes.first { !it.exchange.isRelay }
            val readers = fleet.nodes.filter { it.settings.failureDomain != source.settings.failureDomain }
            return List(3_000) { step ->
                source.statistics.loads.add(fleet.servers[0].id, ServerLoad(waitingTokens = FLOOD_TOKENS))
                fleet.run(1)
                step + 1 - fleet.loadSeenBy(readers[step % readers.size], 0).waitingTokens / FLOOD_TOKENS
            }.drop(1_000).sorted()
        }
    }

    @Nested
    inner class Cost {
        @ParameterizedTest
        @CsvSource("17, 40", "80, 80")
        fun `a fleet with idle engines sends nothing more`(routers: Int, rate: Double) {
            // Guards against requests that cost a report each where nobody waits.
            val fleet = EngineLoadFleet(routers, NOTICEABLE, seed = 1)
            fleet.exchange.run(3_000)
            fleet.run(4_000, CALM_RATE) { fleet.random.nextInt(routers) }
            fleet.run(2_000, rate) { fleet.random.nextInt(routers) }
            val before = fleet.exchange.nodes.sumOf { it.exchange.earlyRounds }
            fleet.run(5_000, rate) { fleet.random.nextInt(routers) }
            val rounds = fleet.exchange.nodes.sumOf { it.exchange.earlyRounds } - before
            assertTrue(rounds <= 5 * rate / 50, "$rounds rounds for ${5 * rate} requests")
        }
    }

    private companion object {
        const val SEEDS = 3

        /** Prompts a second of the fleet without and with the flood; engines read 1,060 if they keep the first parts. */
        const val CALM_RATE = 300.0
        const val RATE = 400.0

        /** Half of the callers' target of 300 ms. */
        const val NOTICEABLE = 150.0
        const val LATE_FRACTION = 0.1

        /** Tokens that a flooding router sends to one engine in a millisecond, more than that reads. */
        const val FLOOD_TOKENS = 300
        const val ADDED_BYTES = 2_000
    }
}
