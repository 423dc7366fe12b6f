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
 * val budget = CallBudget(callsPerSecond = 20.0, burst = 40, clock)
 * if (!budget.tryTake()) return retryAt(budget.nextCallAt())
 * ```
 */
public class CallBudget(
    callsPerSecond: Double,
    burst: Int,
    private val clock: Clock,
) {
    private val interval = (Timestamp.MICROSECONDS_PER_SECOND / callsPerSecond).toLong()
    private val headroom = interval * burst
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
    public fun tryTake(): Boolean {
        val now = clock().microseconds
        while (true) {
            val seen = fullAt.get()
            val next = maxOf(seen, now) + interval
            if (next - now > headroom) {
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
    public fun nextCallAt(): Timestamp = Timestamp(maxOf(fullAt.get() + interval - headroom, clock().microseconds))
}
