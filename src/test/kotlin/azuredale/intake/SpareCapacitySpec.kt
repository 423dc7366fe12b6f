package azuredale.intake

import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: the callers of one team keep to a router with a quarter of a core until it can bear no more. */
class SpareCapacitySpec {
    private val capacity = SpareCapacity(weight = 0.25)
    private var now = Timestamp.ofMilliseconds(1_000_000)

    private fun run(milliseconds: Long, lag: Long = 0, waiting: Int = 0, running: Int = 0, connections: Double = 0.0) {
        val end = now.plusMilliseconds(milliseconds)
        while (now < end) {
            now = now.plusMilliseconds(TICK_MILLISECONDS)
            capacity.record(RouterWork(lag, waiting, running, connections), isOverloaded = false, now)
        }
    }

    @Nested
    inner class Crowd {
        @Test
        fun `requests that wait crowd a small router within a second`() {
            run(1_000, waiting = 20)
            assertEquals(0, capacity.quarters)
        }

        @Test
        fun `late work, open connections and requests in progress count as well`() {
            run(500, connections = 0.5)
            assertTrue(capacity.quarters in 2..3, "${capacity.quarters}")
            run(1_500, running = 100)
            assertEquals(1, capacity.quarters)
            run(1_500, lag = 150)
            assertEquals(0, capacity.quarters)
        }

        @Test
        fun `a single pause does not crowd a router`() {
            // Guards against a garbage collection that moves all callers of a router to others.
            run(2_000)
            run(TICK_MILLISECONDS, lag = 200)
            assertEquals(SpareCapacity.ALL, capacity.quarters)
        }
    }

    @Nested
    inner class Return {
        @Test
        fun `capacity comes back a quarter at a time`() {
            // Guards against callers who all come back at once and crowd the router again.
            run(1_000, waiting = 20)
            val seen = List(6) { run(1_000).let { capacity.quarters } }
            assertEquals(seen.sorted(), seen)
            assertTrue(seen.first() <= 1 && seen.zipWithNext().all { (first, second) -> second - first <= 1 }, "$seen")
            assertEquals(SpareCapacity.ALL, seen.last())
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 20L
    }
}
