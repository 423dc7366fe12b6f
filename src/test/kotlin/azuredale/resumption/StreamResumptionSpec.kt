package azuredale.resumption

import azuredale.identity.SoftwareVersion
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load pattern: routers and servers are replaced while callers resume streams. */
class StreamResumptionSpec {
    private fun goesOnAt(version: String) = ResumptionDecision.GoOn(SoftwareVersion(version))

    /** A fleet that has known versions 1 and 2 for long enough to use both. */
    private fun mixed(routers: Int) = ResumptionFleet(routers).apply {
        allSee("1", "1")
        run(milliseconds = 40_000)
        allSee("1", "2")
        run(milliseconds = 4_000)
    }

    @Nested
    inner class KilledRouters {
        @ParameterizedTest
        @ValueSource(ints = [8, 40, 90])
        fun `a stream outlives the router that began it`(routers: Int) {
            // Guards against refusals of most streams that a killed router served.
            val fleet = mixed(routers)
            repeat(40) { fleet.nodes[it % 3].begin("request-$it", "${1 + it % 2}") }
            fleet.kill(0..2)
            val decisions = (0 until 40).map { fleet.nodes[3 + it % 5].decide("request-$it") }
            val right = decisions.indices.count { decisions[it] == goesOnAt("${1 + it % 2}") }
            assertTrue(right >= 30, "$right of 40 streams go on")
            assertTrue(
                decisions.indices.all {
                    decisions[it] !is ResumptionDecision.GoOn ||
                        decisions[it] == goesOnAt("${1 + it % 2}")
                },
            )
        }

        @Test
        fun `after the loss of all routers nothing is guessed`() {
            // Guards against streams that are joined from two versions after a loss of power, also if the old one has left.
            val fleet = mixed(8)
            fleet.nodes[0].begin("request", "1")
            fleet.kill(0..7)
            fleet.start(0..7)
            fleet.allSee("2", "2")
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[4].decide("request"))
            fleet.nodes[1].begin("later", "2")
            assertEquals(goesOnAt("2"), fleet.nodes[1].decide("later"))
        }

        @Test
        fun `after the loss of all routers new streams go on at other routers`() {
            // Guards against refusals of streams that began when only the store knew of the earlier version.
            val fleet = mixed(8)
            fleet.kill(0..7)
            fleet.start(0..7)
            fleet.allSee("2", "2")
            repeat(8) { fleet.nodes[it].begin("early-$it", "2") }
            repeat(8) { assertEquals(goesOnAt("2"), fleet.nodes[(it + 3) % 8].decide("early-$it")) }
            repeat(8) { fleet.nodes[0].begin("late-$it", "2") }
            fleet.kill(listOf(0))
            repeat(7) { assertEquals(goesOnAt("2"), fleet.nodes[it + 1].decide("late-$it")) }
            fleet.run(milliseconds = 40_000)
            assertEquals(goesOnAt("2"), fleet.nodes[1].decide("unknown"))
            assertTrue(fleet.notes.pools.isEmpty(), "the note is left over")
        }

        @Test
        fun `a router that starts while the store is away guesses nothing`() {
            // Guards against a router that takes the lack of an answer for the lack of a note.
            val fleet = ResumptionFleet(8)
            fleet.allSee("1", "1")
            fleet.notes.isAway = true
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[4].decide("request"))
            fleet.notes.isAway = false
            assertEquals(goesOnAt("1"), fleet.nodes[4].decide("request"))
        }

        @Test
        fun `with one version streams go on, and nothing is written`() {
            // Guards against a price for fleets whose servers are all alike.
            val fleet = ResumptionFleet(8)
            fleet.allSee("1", "1")
            fleet.run(milliseconds = 40_000)
            fleet.kill(0..7)
            fleet.start(0..7)
            fleet.allSee("1", "1")
            assertEquals(goesOnAt("1"), fleet.nodes[4].decide("request"))
            assertEquals(goesOnAt("1"), fleet.nodes[4].decide("another"))
            assertEquals(1, fleet.notes.calls)
        }
    }

    @Nested
    inner class Directories {
        @Test
        fun `streams of the time before the second version go on at the first`() {
            // Guards against refusals as soon as a release begins.
            val fleet = ResumptionFleet(8)
            fleet.allSee("1", "1")
            fleet.run(milliseconds = 40_000)
            fleet.nodes[2].begin("request", "1")
            fleet.allSee("1", "2")
            assertEquals(goesOnAt("1"), fleet.nodes[5].decide("request"))
            fleet.kill(listOf(2))
            assertEquals(goesOnAt("1"), fleet.nodes[6].decide("request"))
        }

        @Test
        fun `a router whose directory is old learns from others that there are two versions`() {
            // Guards against a router that believes in one version and joins another one's streams.
            val fleet = ResumptionFleet(8)
            fleet.allSee("1", "1")
            fleet.run(milliseconds = 40_000)
            fleet.nodes.drop(1).forEach { it.sees("1", "2") }
            fleet.run(milliseconds = 4_000)
            fleet.nodes[5].begin("request", "2")
            fleet.kill(listOf(5))
            val decision = fleet.nodes[0].decide("request")
            assertTrue(decision == goesOnAt("2") || decision is ResumptionDecision.Refuse, "$decision")
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[0].decide("unknown"))
        }

        @Test
        fun `a router that is out of step asks all others, and takes no pool for one of a single version`() {
            // Guards against a router that was cut off or stood still while servers of a second version joined.
            val fleet = ResumptionFleet(8)
            fleet.allSee("1", "1")
            fleet.run(milliseconds = 40_000)
            fleet.nodes[5].begin("request", "1")
            fleet.nodes[0].isInStep = false
            assertEquals(goesOnAt("1"), fleet.nodes[0].decide("request"))
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[0].decide("unknown"))
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[0].decide(null))
            fleet.nodes[0].isInStep = true
            assertEquals(goesOnAt("1"), fleet.nodes[0].decide("unknown"))
        }

        @Test
        fun `a version that has left counts as long as its streams may be resumed`() {
            // Guards against a guess right after the last server of the old version has left.
            val fleet = mixed(8)
            fleet.allSee("2", "2")
            fleet.run(milliseconds = 20_000)
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[0].decide("unknown"))
            fleet.run(milliseconds = 15_000)
            assertEquals(goesOnAt("2"), fleet.nodes[0].decide("unknown"))
        }

        @Test
        fun `an id that began at two versions is refused`() {
            // Guards against an id that is used again.
            val fleet = mixed(3)
            fleet.nodes[0].begin("request", "1")
            fleet.nodes[1].begin("request", "2")
            fleet.nodes.forEach { assertIs<ResumptionDecision.Refuse>(it.decide("request")) }
        }

        @Test
        fun `a caller that does not name the beginning is refused while there are two versions`() {
            // Guards against callers that send a last event only.
            val fleet = mixed(8)
            assertIs<ResumptionDecision.Refuse>(fleet.nodes[0].decide(null))
        }
    }

    @Nested
    inner class Beginnings {
        private fun ResumptionFleet.beginning() = nodes[0]
            .resumption
            .beginning(ResumptionFleet.POOL)
            ?.map { it.name }
            ?.toSet()

        @Test
        fun `nothing begins at a new version before all routers and the store know of it`() {
            // Guards against routers that do not know of a version whose streams they resume.
            val fleet = ResumptionFleet(8)
            fleet.notes.isAway = true
            fleet.allSee("1", "1")
            assertNull(fleet.beginning())
            fleet.allSee("1", "2")
            fleet.run(milliseconds = 4_000)
            assertEquals(setOf("1"), fleet.beginning())
            fleet.notes.isAway = false
            fleet.run(milliseconds = 1_000)
            assertNull(fleet.beginning())
        }

        @Test
        fun `streams begin at a new version at once when no other server is ready`() {
            // Guards against a pool that serves nothing after all its servers were replaced.
            val fleet = ResumptionFleet(8)
            fleet.allSee("1", "1")
            fleet.allSee("-1", "2")
            assertNull(fleet.beginning())
        }
    }

    @Nested
    inner class Notes {
        @Test
        fun `are written by few routers and removed when the versions are one again`() {
            // Guards against calls of every router, and against notes that stay for good.
            val fleet = mixed(8)
            assertEquals(setOf(ResumptionFleet.POOL), fleet.notes.pools)
            assertTrue(fleet.notes.calls <= 3, "${fleet.notes.calls} calls")
            fleet.allSee("2", "2")
            fleet.run(milliseconds = 40_000)
            assertTrue(fleet.notes.pools.isEmpty())
        }

        @Test
        fun `are written again after the store was restored from an older copy`() {
            // Guards against routers that start after the store has lost what it acknowledged.
            val fleet = mixed(8)
            fleet.notes.pools.clear()
            fleet.run(milliseconds = 11_000)
            assertEquals(setOf(ResumptionFleet.POOL), fleet.notes.pools)
        }

        @Test
        fun `are written again at once by routers that know of the store's return`() {
            // Guards against seconds in which a router that starts reads that the pool is alike.
            val fleet = mixed(8)
            fleet.notes.pools.clear()
            fleet.nodes.forEach { it.resumption.storeReturned() }
            fleet.run(milliseconds = 1_000)
            assertEquals(setOf(ResumptionFleet.POOL), fleet.notes.pools)
        }
    }
}
