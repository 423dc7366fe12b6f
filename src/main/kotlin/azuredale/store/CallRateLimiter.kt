package azuredale.store

import azuredale.time.Clock
import azuredale.time.Timestamp
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the rate of calls from this node to the platform.
 *
 * The limiter is a token bucket, represented by the time at which the bucket will be full again. A call is allowed if
 * this time would then be at most one burst ahead of the current time.
 *
 * ```
 * val limiter = CallRateLimiter(callsPerSecond = 20.0, burst = 40, clock)
 * if (!limiter.tryAcquire()) return retryAt(limiter.nextCallAt())
 * ```
 */
public class CallRateLimiter(
    callsPerSecond: Double,
    burst: Int,
    private val clock: Clock,
) {
    private val intervalMicroseconds = (Timestamp.MICROSECONDS_PER_SECOND / callsPerSecond).toLong()
    private val burstMicroseconds = intervalMicroseconds * burst
    private val fullAt = AtomicLong(Timestamp.DISTANT_PAST.microseconds)
    private val allowedCalls = AtomicLong()
    private val refusedCalls = AtomicLong()

    init {
        require(callsPerSecond > 0 && burst > 0) { "rate and burst must be positive, got $callsPerSecond and $burst" }
    }

    /** Number of calls allowed so far; a watch counts as one call. */
    public val allowed: Long get() = allowedCalls.get()

    /** Number of calls refused so far. */
    public val refused: Long get() = refusedCalls.get()

    /** Counts one call and returns true, or returns false if no call is allowed now. */
    public fun tryAcquire(): Boolean {
        val now = clock().microseconds
        while (true) {
            val seen = fullAt.get()
            val next = maxOf(seen, now) + intervalMicroseconds
            if (next - now > burstMicroseconds) {
                refusedCalls.incrementAndGet()
                return false
            }
            if (fullAt.compareAndSet(seen, next)) {
                allowedCalls.incrementAndGet()
                return true
            }
        }
    }

    /** Returns the earliest time at which a call is allowed. */
    public fun nextCallAt(): Timestamp =
        Timestamp(maxOf(fullAt.get() + intervalMicroseconds - burstMicroseconds, clock().microseconds))
}
