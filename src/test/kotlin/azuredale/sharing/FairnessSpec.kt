package azuredale.sharing

import azuredale.identity.TeamId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertTrue

class FairnessSpec {
    /** Random teams, servers, routers and bursts of requests. */
    private class Scenario(seed: Int) {
        val random = Random(seed)
        val slots = List(random.nextInt(1, 5)) { random.nextInt(1, 5) }
        val servers = slots.mapIndexed { index, count -> testServer("s$index", count) }
        val teams = (1..random.nextInt(2, 6)).associate { "team-$it" to random.nextInt(1, 5).toDouble() }
        val fleet =
            SharingFleet(
                testDocument(teams, servers),
                routerCount = random.nextInt(1, 5),
                latencyMicroseconds = LATENCY,
                speeds = servers.associate { it.id to random.nextDouble(50.0, 200.0) },
            )
        val probe = FairnessProbe(fleet)

        fun run() {
            fleet.run(1_000)
            repeat(30) {
                teams.keys.forEach { if (random.nextInt(3) > 0) burst(TeamId(it)) }
                fleet.run(random.nextLong(100, 3_000), probe::step)
            }
        }

        private fun burst(team: TeamId) = repeat(random.nextInt(1, 60)) {
            fleet.routers.random(random).submit(SharingFleet.Work(team, random.nextDouble(0.5, MAXIMUM_COST)))
        }
    }

    @Nested
    inner class RandomWork {
        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
        fun `keeps the fairness bound and leaves no slot idle while requests wait`(seed: Int) {
            // Guards against overcommitted slots, credit for idle time, lost or duplicate charges, and grants that are
            // delayed to the next tick.
            val scenario = Scenario(seed)
            scenario.run()
            val probe = scenario.probe
            val perRequest = 2 * MAXIMUM_COST + 200.0 * LATENCY / 1_000_000
            val bound = probe.bound(perRequest)
            val idleBound = 2 * LATENCY * (1 + scenario.slots.sum() / 8)
            println(
                "seed $seed: gap ${probe.gap} of $bound, idle ${probe.longestIdleMicroseconds} of $idleBound us, " +
                    "utilisation ${probe.utilisation}, granted ${scenario.fleet.granted.size}",
            )
            assertTrue(probe.gap <= bound, "seed $seed: gap ${probe.gap} exceeds $bound")
            assertTrue(probe.mostAtOnce <= scenario.slots.sum(), "seed $seed: ${probe.mostAtOnce} requests at once")
            assertTrue(
                probe.longestIdleMicroseconds <= idleBound,
                "seed $seed: a slot was idle for ${probe.longestIdleMicroseconds} us, bound $idleBound",
            )
        }
    }

    private companion object {
        const val LATENCY = 2_000L
        const val MAXIMUM_COST = 20.0
    }
}
