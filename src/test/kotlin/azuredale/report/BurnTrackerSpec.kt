package azuredale.report

import azuredale.identity.Incarnation
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.protocol.BurnCount
import azuredale.protocol.BurnCounts
import azuredale.time.Timestamp
import azuredale.transport.MessageSizes
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BurnTrackerSpec {
    private val start = Timestamp(1_700_000_040_000_000)
    private val key = BurnKey(TeamId("harbour"), PoolId("models"))
    private val here = RouterId("r-1")
    private val there = RouterId("r-2")
    private val tracker = BurnTracker(here, Incarnation(1))

    private fun after(minutes: Int) = start.plusSeconds(minutes * 60L)

    private fun end(minute: Int, good: Int, slow: Int = 0, failed: Int = 0, to: BurnTracker = tracker) {
        repeat(good) { to.requestEnded(key, EndedRequest(false, 100_000, 20_000), after(minute)) }
        repeat(slow) { to.requestEnded(key, EndedRequest(false, 9_000_000), after(minute)) }
        repeat(failed) { to.requestEnded(key, EndedRequest(true, 9_000_000), after(minute)) }
    }

    private fun hour(now: Int, from: BurnTracker = tracker) = from
        .report(listOf(here, there), after(now))
        .rows
        .singleOrNull()
        ?.windows
        ?.get(BurnWindow.FAST_LONG)

    @Nested
    inner class Windows {
        @Test
        fun `counts each request once per window and drops it when the window has passed`() {
            end(0, good = 90, slow = 6, failed = 4)
            val line = tracker.report(emptyList(), after(0)).rows.single()
            assertEquals(WindowCounts(100, 6, 4), line.windows.getValue(BurnWindow.FAST_SHORT))
            assertEquals(10.0, line.rates.getValue(BurnWindow.FAST_SHORT), 1e-9)
            val later =
                tracker
                    .report(emptyList(), after(5))
                    .rows
                    .single()
                    .windows
            assertEquals(0, later.getValue(BurnWindow.FAST_SHORT).ended)
            assertEquals(100, later.getValue(BurnWindow.SLOW_SHORT).ended)
            assertEquals(
                100,
                tracker
                    .report(emptyList(), after(330))
                    .rows
                    .single()
                    .windows
                    .getValue(BurnWindow.SLOW_LONG)
                    .ended,
            )
            assertEquals(emptyList(), tracker.report(emptyList(), after(375)).rows)
        }

        @Test
        fun `raises the fast alert only while both of its windows exceed the threshold`() {
            // Guards against an alert after one bad minute, and against one that stays for an hour after recovery.
            (0 until 60).forEach { end(it, good = 100) }
            (60 until 62).forEach { end(it, good = 70, failed = 30) }
            assertEquals(
                BurnAlert.NONE,
                tracker
                    .report(emptyList(), after(61))
                    .rows
                    .single()
                    .alert,
            )
            (62 until 95).forEach { end(it, good = 70, failed = 30) }
            assertEquals(
                BurnAlert.FAST,
                tracker
                    .report(emptyList(), after(94))
                    .rows
                    .single()
                    .alert,
            )
            (95 until 101).forEach { end(it, good = 100) }
            assertEquals(
                BurnAlert.SLOW,
                tracker
                    .report(emptyList(), after(100))
                    .rows
                    .single()
                    .alert,
            )
        }
    }

    @Nested
    inner class Merging {
        private val remote = BurnTracker(there, Incarnation(5))

        @Test
        fun `a repeated message is not counted twice`() {
            // Guards against double counting when a message is sent again after a reconnection.
            end(0, good = 9, failed = 1, to = remote)
            val first = remote.takeCounts(after(0))
            repeat(2) { tracker.merge(there, first, after(0)) }
            end(0, good = 5, to = remote)
            tracker.merge(there, remote.takeCounts(after(0)), after(0))
            assertEquals(WindowCounts(15, 0, 1), hour(0))
        }

        @Test
        fun `counts of an earlier incarnation are kept and its late messages are ignored`() {
            end(0, good = 10, to = remote)
            val late = remote.takeCounts(after(0))
            tracker.merge(there, late, after(0))
            val restarted = BurnTracker(there, Incarnation(6))
            end(1, good = 3, to = restarted)
            tracker.merge(there, restarted.takeCounts(after(1)), after(1))
            tracker.merge(there, late, after(1))
            assertEquals(WindowCounts(13, 0, 0), hour(1))
        }

        @Test
        fun `lists routers that have not reported within a minute`() {
            assertEquals(listOf(there), tracker.report(listOf(here, there), after(0)).missing)
            tracker.merge(there, BurnCounts(Incarnation(5), emptyList()), after(0))
            assertEquals(emptyList(), tracker.report(listOf(here, there), after(0)).missing)
            assertEquals(listOf(there), tracker.report(listOf(here, there), after(2)).missing)
        }

        @Test
        fun `drops counts that are outdated, negative or impossibly large`() {
            val wrong =
                listOf(Triple(-9L, 1L, 0L), Triple(0L, -1L, 0L), Triple(0L, 1L, 2L), Triple(0L, Long.MAX_VALUE, 0L))
            val minute = start.microseconds / 60_000_000
            val counts =
                wrong.map { (age, ended, missed) ->
                    BurnCount(key.team, key.pool, minute + age, ended, missed, 0)
                }
            tracker.merge(there, BurnCounts(Incarnation(5), counts), start)
            assertEquals(wrong.size.toLong(), tracker.droppedCounts)
            assertEquals(null, hour(0))
        }
    }

    @Nested
    inner class DesignSize {
        @Test
        fun `memory and message size stay within limits with 2,900 teams`() {
            val keys =
                (0 until 2_900).flatMap { team ->
                    listOf("models", "records").map { BurnKey(TeamId("team-$team"), PoolId(it)) }
                }
            val before = usedBytes()
            val large = BurnTracker(here, Incarnation(1))
            keys.forEach { large.requestEnded(it, EndedRequest(false, 50_000, 30_000), start) }
            val bytes = usedBytes() - before
            val counts = large.takeCounts(start)
            val size =
                MessageSizes().let { sizes ->
                    sizes(here, there, counts)
                    sizes(here, there, large.takeCounts(start))
                }
            println("2,900 teams in 2 pools: ${bytes / 1_000_000.0} MB, one message with 200 counts: $size bytes")
            assertTrue(bytes < 20_000_000, "$bytes bytes")
            assertEquals(200, counts.counts.size)
            assertTrue(size < 10_000, "$size bytes")
            val small = BurnTracker(here, Incarnation(1), maximumRows = 10)
            keys.forEach { small.requestEnded(it, EndedRequest(false), start) }
            assertEquals(keys.size - 10L, small.droppedCounts)
        }

        private fun usedBytes(): Long {
            repeat(3) { System.gc() }
            return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
        }
    }
}
