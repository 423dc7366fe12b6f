package azuredale.store

import azuredale.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CallRateLimiterSpec {
    private var now = Timestamp(1_000_000)

    @Test
    fun `allows a burst, then the average rate, and returns when the next call is allowed`() {
        // Guards against an unlimited burst after a long idle period.
        val budget = CallRateLimiter(callsPerSecond = 10.0, burst = 5) { now }
        now = now.plusSeconds(3_600)
        assertEquals(5, (1..20).count { budget.tryAcquire() })
        assertEquals(now.plusMilliseconds(100), budget.nextCallAt())
        now = now.plusMilliseconds(99)
        assertFalse(budget.tryAcquire())
        now = now.plusMilliseconds(1)
        assertTrue(budget.tryAcquire())
        val later =
            (1..10_000).count {
                now = now.plusMilliseconds(1)
                budget.tryAcquire()
            }
        assertEquals(100, later)
        assertEquals(106, budget.allowed)
    }
}
