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
        val rateLimiter = CallRateLimiter(callsPerSecond = 10.0, burst = 5) { now }
        now = now.plusSeconds(3_600)
        assertEquals(5, (1..20).count { rateLimiter.tryAcquire() })
        assertEquals(now.plusMilliseconds(100), rateLimiter.nextCallAt())
        now = now.plusMilliseconds(99)
        assertFalse(rateLimiter.tryAcquire())
        now = now.plusMilliseconds(1)
        assertTrue(rateLimiter.tryAcquire())
        val later =
            (1..10_000).count {
                now = now.plusMilliseconds(1)
                rateLimiter.tryAcquire()
            }
        assertEquals(100, later)
        assertEquals(106, rateLimiter.allowed)
    }
}
