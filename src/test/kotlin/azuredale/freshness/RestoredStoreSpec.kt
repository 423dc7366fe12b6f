package azuredale.freshness

import azuredale.standin.StoreCopy
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The store returns from a copy some seconds old and gives out its latest revisions again. */
class RestoredStoreSpec {
    private fun fleet(routers: Int, test: RestoredStoreFleet.() -> Unit) = RestoredStoreFleet(routers).run {
        writeVersion("a", "b")
        run(milliseconds = 4_000)
        assertEquals(emptyList(), behind(), "routers that do not serve before the drill")
        test()
        assertEquals(emptySet(), violations)
    }

    /** Returns from [copy] after [awayMilliseconds] in which the store does not answer. */
    private fun RestoredStoreFleet.restore(copy: StoreCopy, awayMilliseconds: Int = 500) {
        isAway = true
        run(awayMilliseconds)
        storage.restore(copy)
        isAway = false
    }

    @Nested
    inner class Revocations {
        @Test
        fun `under a revision that is given out again are in force in time`() = fleet(routers = 3) {
            // Guards against a catalog that is proven by the revision of another one, so that revoked keys work on.
            val copy = copy()
            writeVersion("a", "b", "c")
            run(milliseconds = 1_000)
            restore(copy)
            writeVersion("a", "c")
            run(milliseconds = 10_000)
            assertEquals(emptyList(), behind())
        }

        @Test
        fun `that were lost are in force at routers that start before they are written again`() = fleet(routers = 3) {
            // Guards against a router that reads the copy, takes it for the newest catalog and serves revoked keys.
            val copy = copy()
            writeVersion("a")
            run(milliseconds = 1_000)
            restore(copy)
            run(milliseconds = 2_000)
            restart(0..2)
            run(milliseconds = 2_400)
            writeNewest()
            run(milliseconds = 10_000)
            assertEquals(emptyList(), behind())
        }

        @Test
        fun `that were lost are in force at a router that starts while others know them`() = fleet(routers = 3) {
            // Guards against a router that starts after the drill and does not ask what others know.
            val copy = copy()
            writeVersion("a")
            run(milliseconds = 1_000)
            restore(copy)
            run(milliseconds = 6_000)
            restart(0..0)
            run(milliseconds = 4_000)
            writeNewest()
            run(milliseconds = 2_000)
            assertEquals(emptyList(), behind())
        }
    }

    /** Events that fall together with a return. */
    @Nested
    inner class Coincidences {
        private fun RestoredStoreFleet.loseRevocation(): StoreCopy {
            val copy = copy()
            writeVersion("a")
            run(milliseconds = 1_000)
            return copy
        }

        @Test
        fun `a router that has waited for the store since the first start is no witness`() {
            // Guards against a router that takes the era of the copy for the first one and tells all that it is settled.
            RestoredStoreFleet(routers = 3).run {
                nodes[0].isCut = true
                nodes[0].isStoreAway = true
                writeVersion("a", "b")
                run(milliseconds = 4_000)
                val copy = loseRevocation()
                run(milliseconds = 5_000)
                restore(copy)
                restart(1..2)
                nodes[0].isCut = false
                nodes[0].isStoreAway = false
                run(milliseconds = 1_000)
                writeNewest()
                run(milliseconds = 5_000)
                assertEquals(emptySet(), violations)
            }
        }

        @Test
        fun `an outage in which nobody can write again does not settle the era`() = fleet(routers = 3) {
            // Guards against a copy that is proven as soon as the store is back for the second time.
            val copy = loseRevocation()
            restore(copy)
            nodes.forEach { it.isCut = true }
            restart(0..2)
            run(milliseconds = 800)
            isAway = true
            run(milliseconds = 3_500)
            isAway = false
            run(milliseconds = 1_500)
            writeNewest()
            nodes.forEach { it.isCut = false }
            run(milliseconds = 10_000)
            assertEquals(emptyList(), behind())
        }

        @Test
        fun `a router that hears late of the lost version serves no more keys of the copy`() {
            // Guards against a proof of the copy that outlives the news that the copy is outdated.
            RestoredStoreFleet(routers = 3).run {
                writeVersion("a", "b")
                run(milliseconds = 4_000)
                restore(loseRevocation())
                run(milliseconds = 5_500)
                restart(0..0)
                nodes[0].isCut = true
                run(milliseconds = 1_000)
                nodes[0].isCut = false
                run(milliseconds = 1_000)
                assertTrue(nodes.none { it.serves("b") })
            }
        }
    }

    @Nested
    inner class Service {
        @Test
        fun `takes no more than half of the writes that all routers may make`() {
            // Guards against a large fleet that registers again at once, or at each start, and exceeds the store's limit.
            RestoredStoreFleet(routers = LARGE_FLEET).run {
                writeVersion("a", "b")
                val writes = ArrayList<Int>()
                val runSecond = {
                    val before = nodes.sumOf { it.store.writes }
                    run(milliseconds = 1_000)
                    writes += nodes.sumOf { it.store.writes } - before
                }
                repeat(3) { runSecond() }
                val copy = copy()
                restore(copy)
                repeat(6) { runSecond() }
                assertTrue(writes.first() <= 2 * LARGE_FLEET + 3, "writes of a start: $writes")
                assertTrue(writes.drop(1).all { it <= WRITES_PER_SECOND / 2 }, "writes in each second: $writes")
            }
        }

        @Test
        fun `is given at once by routers that start when the store's return is long past`() = fleet(routers = 3) {
            // Guards against seconds of refusals at each start, since nobody is left who knows how old the era is.
            val copy = copy()
            raiseRevision(1)
            restore(copy)
            run(milliseconds = 8_000)
            restart(0..2)
            run(milliseconds = 1_000)
            assertEquals(emptyList(), behind())
        }

        @Test
        fun `goes on by the known catalog when the copy has the same one`() = fleet(routers = 3) {
            // Guards against requests that are refused for seconds because the store's revision is lower than before.
            val copy = copy()
            raiseRevision(10)
            run(milliseconds = 1_000)
            restore(copy)
            repeat(100) {
                run(milliseconds = 100)
                assertTrue(nodes.all { it.serves("a") }, "refused ${it * 100} ms after the store's return")
            }
        }

        @Test
        fun `has a new catalog with a lower revision`() = fleet(routers = 3) {
            // Guards against a configuration that stays out of force until the revision has passed its old value.
            val copy = copy()
            raiseRevision(100)
            writeVersion("a", "b", "c")
            run(milliseconds = 1_000)
            restore(copy)
            run(milliseconds = 500)
            writeVersion("a", "d")
            run(milliseconds = 6_000)
            assertEquals(emptyList(), behind())
        }

        @Test
        fun `costs no more than half of the calls that a router may make`() = fleet(routers = 3) {
            // Guards against routers that read without pause while the store proves nothing to them.
            val copy = copy()
            raiseRevision(100)
            writeVersion("a")
            run(milliseconds = 1_000)
            restore(copy)
            val before = nodes.map { it.store.calls }
            run(milliseconds = 20_000)
            val calls = nodes.zip(before) { node, calls -> node.store.calls - calls }
            assertTrue(calls.all { it <= 20 * MemoryStore.CALLS_PER_SECOND / 2 }, "calls in 20 s: $calls")
        }
    }

    private companion object {
        const val LARGE_FLEET = 100

        /** Limit of the store for all nodes of a system together. */
        const val WRITES_PER_SECOND = 400
    }
}
