package azuredale.admission

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Load pattern: several teams ask for too much in turn, one of them at one router, or the servers slow down. */
class ScarceRoomSpec {
    private fun anywhere(routers: Int): (Random) -> Int = { it.nextInt(routers) }

    private fun hotInTurn(index: Int): (Int) -> Double = { second -> if ((second - 4) / 3 % 3 == index) 12.0 else 1.0 }

    private fun assertFair(fleet: FloodFleet, smallestPart: Double, minimumUtilization: Double) {
        fleet.run(19_000)
        val (part, who) = fleet.worstPart(from = 3)
        val used = fleet.utilization(3, fleet.second)
        assertTrue(part >= smallestPart, "$who gets $part; $used of the capacity is used")
        assertTrue(used >= minimumUtilization, "$used of the capacity is used")
    }

    @ParameterizedTest
    @CsvSource("16, 8", "76, 24")
    fun `teams that flood one router each in turn get the same`(routers: Int, servers: Int) {
        // Guards against a team that is thinned out for seconds after its flood, while others get its share.
        val capacity = servers * 200_000.0
        val small = List(6) { FloodTeam("small-$it", capacity * 0.03, 4_000, router = anywhere(routers)) }
        val hot =
            List(3) { FloodTeam("hot-$it", capacity * 0.15, 9_000, factor = hotInTurn(it), router = { _ -> it * 4 }) }
        val base = FloodTeam("base", capacity * 0.5, 9_000, router = anywhere(routers))
        val conditions = FloodConditions(slowness = { 1.0 })
        assertFair(FloodFleet(routers, servers, small + hot + base, conditions), 0.65, 0.75)
    }

    @Test
    fun `servers that are slow for four seconds are shared, and used again afterwards`() {
        // Guards against shares of what began while the servers were slow, which keep them empty later.
        val capacity = 8 * 200_000.0
        val teams =
            List(3) { FloodTeam("small-$it", capacity * 0.03, 4_000, router = anywhere(16)) } +
                FloodTeam("mid", capacity * 0.2, 9_000, router = anywhere(16)) +
                FloodTeam("large", capacity * 0.45, 9_000, router = anywhere(16)) +
                FloodTeam("at-one", capacity * 0.15, 6_000) { 3 }
        val conditions = FloodConditions(slowness = { second -> if (second >= 8 && second < 12) 4.0 else 1.0 })
        assertFair(FloodFleet(16, 8, teams, conditions), 0.65, 0.65)
    }

    @ParameterizedTest
    @CsvSource("16, 8", "76, 24")
    fun `nothing is held back while there is room for all`(routers: Int, servers: Int) {
        // Guards against shares that refuse requests on a calm day, whose retries then look like scarce room.
        val capacity = servers * 200_000.0
        val teams =
            List(6) { FloodTeam("small-$it", capacity * 0.03, 4_000, router = anywhere(routers)) } +
                FloodTeam("mid", capacity * 0.15, 9_000, router = anywhere(routers)) +
                FloodTeam("large", capacity * 0.25, 9_000, router = anywhere(routers)) +
                FloodTeam("at-one", capacity * 0.12, 6_000) { 3 }
        val fleet = FloodFleet(routers, servers, teams, FloodConditions(slowness = { 1.0 }))
        fleet.run(19_000)
        val served = fleet.servedFraction(from = 3)
        assertTrue(served >= 0.96, "$served is served")
    }
}
