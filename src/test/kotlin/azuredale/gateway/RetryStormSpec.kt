package azuredale.gateway

import azuredale.identity.PoolId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: every request fails at its first server and is retried at another one. */
class RetryStormSpec {
    private val pool = PoolId("pool-a")
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val bounds = FleetBounds(retryRatio = 0.2, retryHeadroom = 56.0, retryWindowMilliseconds = 10_000)

    /** Returns retries and requests of the window with the most excess retries, at one request per router and step. */
    private fun worstWindow(routers: Int, assumedRouters: Int, stepMilliseconds: Long, seconds: Long): Pair<Int, Int> {
        val budgets = List(routers) { FleetRetryBudget(bounds) { assumedRouters } }
        val requests = ArrayList<Timestamp>()
        val retries = ArrayList<Timestamp>()
        for (elapsed in 0 until seconds * 1_000 step stepMilliseconds) {
            val now = start.plusMilliseconds(elapsed)
            budgets.forEach { budget ->
                budget.recordRequest(pool, now)
                requests += now
                if (budget.tryAcquire(pool, now)) retries += now
            }
        }
        return retries
            .map { end ->
                val from = end.plusMilliseconds(-bounds.retryWindowMilliseconds)
                retries.count { it > from && it <= end } to requests.count { it > from && it <= end }
            }.maxBy { (retried, sent) -> retried - bounds.retryRatio * sent }
    }

    @Nested
    inner class Fleet {
        @ParameterizedTest
        @ValueSource(ints = [1, 8, 82])
        fun `stays within the retry budget in every window`(routers: Int) {
            // Guards against routers that each use the headroom of the whole fleet.
            val (retried, sent) = worstWindow(routers, routers, stepMilliseconds = 100, seconds = 25)
            assertTrue(
                retried <= bounds.retryRatio * sent + bounds.retryHeadroom,
                "$retried retries of $sent requests",
            )
            assertTrue(retried > bounds.retryRatio * sent / 2, "only $retried retries of $sent requests are allowed")
        }

        @Test
        fun `allows fewer retries if the number of routers is overestimated`() {
            // Guards against an inaccurate view of the fleet that exceeds the limit.
            val (retried, sent) = worstWindow(routers = 8, assumedRouters = 16, stepMilliseconds = 200, seconds = 25)
            assertTrue(retried <= bounds.retryRatio * sent + bounds.retryHeadroom / 2)
        }
    }

    @Test
    fun `a budget that is nearly used up is kept for the retries that are worth most`() {
        // Guards against refusals of a full server, whose callers may return, that leave nothing for broken streams.
        val budget = FleetRetryBudget(bounds) { 1 }
        val counts =
            RetryWorth.entries.map { worth ->
                generateSequence { budget.tryAcquire(pool, start, worth) }.takeWhile { it }.count()
            }
        val total = counts.sum()
        assertTrue(counts.all { it > 0 }, "retries: $counts")
        assertTrue(counts[0] <= total * RetryWorth.NOT_RUN.usableFraction + 1, "retries: $counts")
        assertEquals(total, generateSequence { budget.tryAcquire(PoolId("other"), start) }.takeWhile { it }.count())
    }

    @Test
    fun `an exhausted budget recovers after the window`() {
        val budget = FleetRetryBudget(bounds) { 8 }
        while (budget.tryAcquire(pool, start)) Unit
        val later = start.plusMilliseconds(bounds.retryWindowMilliseconds + 1_000)
        assertTrue(budget.tryAcquire(pool, later))
        assertEquals(false, FleetRetryBudget(bounds.copy(retryHeadroom = 0.0)) { 8 }.tryAcquire(pool, start))
    }
}
