package azuredale.intake

import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Load pattern: the callers of a large team keep to a small router that has just been restarted. */
class StartupHoldSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)

    /** Runs a tick every 10 ms until [until] ms, late by [lag]; the tables are loaded at 1,200 ms. */
    private fun hold(weight: Double, until: Long, lag: (Long) -> Long): StartupHold {
        val hold = StartupHold(start, weight)
        for (at in 0..until step 10) hold.record(lag(at), isLoaded = at >= 1_200, start.plusMilliseconds(at))
        return hold
    }

    private fun isHeld(hold: StartupHold, ready: Double = 10.0, at: Long = 2_000) =
        hold.isHeld(knownWeight = 12.0, readyWeight = ready, start.plusMilliseconds(at))

    @Nested
    inner class SmallRouter {
        @Test
        fun `callers come once the router keeps up`() {
            // Guards against callers who return to a router that still loads its program.
            val lag = { at: Long -> if (at in 1_200..2_500) 300L else 5L }
            assertTrue(isHeld(hold(0.12, until = 1_900, lag)))
            assertTrue(isHeld(hold(0.12, until = 4_400, lag)))
            assertFalse(isHeld(hold(0.12, until = 4_510, lag)))
        }

        @Test
        fun `callers come after five seconds at the latest, and stay`() {
            // Guards against a router that its load keeps away from its callers.
            assertTrue(isHeld(hold(0.12, until = 4_900) { 300 }))
            assertFalse(isHeld(hold(0.12, until = 5_000) { 300 }))
            assertFalse(isHeld(hold(0.12, until = 9_000) { if (it > 6_000) 300 else 5 }))
        }

        @Test
        fun `a router is ready once it knows that most of the fleet is not`() {
            // Guards against a restarted fleet whose routers wait for each other.
            val hold = hold(0.12, until = 1_500) { 300 }
            assertTrue(isHeld(hold, ready = 5.0, at = 1_500))
            assertFalse(isHeld(hold, ready = 5.0, at = 2_000))
        }
    }

    @Nested
    inner class LargeRouter {
        @Test
        fun `a router on a whole core is never held back`() {
            assertFalse(isHeld(hold(1.0, until = 100) { 300 }))
        }
    }
}
