package azuredale.membership

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Measures detection time, convergence and traffic in virtual time, and checks them against bounds with a margin. */
class MembershipConvergenceSpec {
    private val seed = 23

    private fun meanBytes(fleet: SimulatedFleet, seconds: Int): Pair<Long, Long> {
        fleet.nodes.forEach { it.bytesSent = 0 }
        fleet.run(seconds * 1_000L)
        val each = fleet.nodes.map { it.bytesSent / seconds }
        return each.sum() / each.size to each.max()
    }

    @ParameterizedTest
    @CsvSource("8, 2000, 2500", "64, 3000, 4500", "390, 4000, 7000")
    fun `a failure is detected by one node and then known to all`(size: Int, firstBound: Long, allBound: Long) {
        // Guards against detection or distribution that becomes too slow as the fleet grows.
        val fleet = SimulatedFleet(seed).also { it.startJoined(size) }
        val (mean, worst) = meanBytes(fleet, 10)
        println("$size nodes, seed $seed: quiet $mean B/s per node, worst $worst")
        assertTrue(worst < 800, "seed $seed: $worst B/s")
        val times =
            listOf(5, 2, 4).map { number ->
                val victim = fleet.nodes[number].also { it.isRunning = false }
                val running = fleet.nodes.filter { it.isRunning }
                val first =
                    fleet.run(
                        20_000,
                        checkEvery = 100,
                    ) { running.any { it.stateOf(victim.id) == MemberState.DEAD } }
                first to
                    first +
                    fleet.run(20_000, checkEvery = 100) { running.all { it.stateOf(victim.id) == MemberState.DEAD } }
            }
        println("$size nodes, seed $seed: milliseconds until dead at the first and at all nodes $times")
        assertTrue(times.all { it.first <= firstBound && it.second <= allBound }, "seed $seed: $times")
        assertEquals(size, fleet.nodes[0].controller.fleetSize())
    }

    @ParameterizedTest
    @CsvSource("8, 5000, 5000", "64, 12000, 8000", "390, 60000, 60000")
    fun `the sides of a partition separate and later rejoin`(size: Int, partBound: Long, healBound: Long) {
        // Guards against sides that still consider each other dead after the partition, and against lasting traffic.
        val fleet = SimulatedFleet(seed).also { it.startJoined(size) }
        val south = fleet.nodes.filterIndexed { position, _ -> position % 2 == 1 }.toSet()
        val southIds = south.map { it.id }.toSet()
        val northIds = fleet.nodes.map { it.id }.toSet() - southIds
        fleet.isConnected = { a, b -> (a in south) == (b in south) }
        fleet.nodes.forEach { it.bytesSent = 0 }
        val parted =
            fleet.run(partBound, checkEvery = 100) {
                fleet.nodes.all { it.liveRouters() == if (it in south) southIds else northIds }
            }
        fleet.isConnected = { _, _ -> true }
        val healed = fleet.run(healBound, checkEvery = 100) { fleet.isConverged() }
        val bytes = fleet.nodes.maxOf { it.bytesSent } * 1000 / (parted + healed)
        println("$size nodes, seed $seed: separated after $parted ms, joined after $healed ms, worst node $bytes B/s")
        assertTrue(parted < partBound && fleet.isConverged(), "seed $seed: $parted ms, $healed ms")
        assertEquals(size, fleet.nodes[0].controller.fleetSize())
    }

    @ParameterizedTest
    @CsvSource("8, 60", "64, 60", "390, 15")
    fun `no member is declared dead when one percent of datagrams are lost`(size: Int, seconds: Int) {
        val fleet = SimulatedFleet(seed, lossProbability = 0.01).also { it.startJoined(size) }
        fleet.run(seconds * 1_000L)
        val suspected = fleet.events.count { it.first == MembershipLogEvent.MEMBER_SUSPECT }
        val dead = fleet.events.count { it.first == MembershipLogEvent.MEMBER_DEAD }
        val refuted = fleet.events.count { it.first == MembershipLogEvent.SUSPICION_REFUTED }
        println("$size nodes, seed $seed, 1% loss, $seconds s: $suspected suspicions, $refuted refuted, $dead dead")
        assertEquals(0, dead, "seed $seed")
    }

    @ParameterizedTest
    @CsvSource("300, true", "600, true", "900, false", "1200, false", "3000, false")
    fun `a paused process stays alive or rejoins without a restart`(milliseconds: Long, mustSurvive: Boolean) {
        // Guards against a paused process that stays declared dead, or that declares others dead when it resumes.
        var falselyDead = 0
        repeat(10) { round ->
            val fleet = SimulatedFleet(seed + round).also { it.startJoined(8) }
            val paused = fleet.nodes[round % 8].also { it.isRunning = false }
            fleet.run(milliseconds)
            paused.isRunning = true
            fleet.run(3_000)
            assertTrue(fleet.isConverged(), "seed ${seed + round}")
            val dead =
                fleet.events
                    .filter { it.first == MembershipLogEvent.MEMBER_DEAD }
                    .map { it.second }
                    .toSet()
            assertTrue(dead.all { it == paused.id }, "seed ${seed + round}: $dead")
            falselyDead += dead.size
        }
        println("8 nodes, seeds from $seed: declared dead in $falselyDead of 10 pauses of $milliseconds ms")
        if (mustSurvive) assertEquals(0, falselyDead)
    }
}
