package azuredale.membership

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipControllerSpec {
    private val seed = 11

    private fun joined(count: Int, loss: Double = 0.0): VirtualFleet = VirtualFleet(seed, loss).also {
        it.startAll(count)
        val passed = it.run(20_000) { it.isConverged() }
        assertTrue(it.isConverged(), "seed $seed: $count nodes did not join within $passed ms")
        it.run(3_000)
    }

    @Nested
    inner class Joining {
        @Test
        fun `every node learns of every other through seeds`() {
            // Guards against a joiner that stays unknown to nodes other than its seed.
            val fleet = joined(8)
            assertEquals(8, fleet.node(5).controller.fleetSize())
        }
    }

    @Nested
    inner class Failure {
        @Test
        fun `a stopped node is declared dead everywhere within two seconds`() {
            val fleet = joined(8)
            fleet.node(4).isRunning = false
            val passed = fleet.run(10_000) { fleet.isConverged() }
            println("8 nodes, seed $seed: a failure was known everywhere after $passed ms")
            assertTrue(passed <= 2_000, "seed $seed: $passed ms")
            assertEquals(8, fleet.node(0).controller.fleetSize())
        }
    }
}
