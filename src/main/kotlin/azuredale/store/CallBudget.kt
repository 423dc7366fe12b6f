package azuredale.store

import azuredale.time.Clock
import azuredale.time.Timestamp
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the calls of this node to the platform; a token bucket kept as one timestamp.
 *
 * The bucket is the time at which it would be full again. A call is allowed when that time is at most the burst ahead.
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
        require(callsPerSecond > 0 && burst > 0) { "a budget needs a positive rate and burst" }
    }

    /** Calls allowed so far; a pending watch is one call. */
    public val allowed: Long get() = allowedCalls.get()

    /** Calls refused so far. */
    public val refused: Long get() = refusedCalls.get()

    /** Counts one call and returns true, or returns false when the budget is used up. */
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

    /** Earliest time at which a call is allowed. */
    public fun nextCallAt(): Timestamp = Timestamp(maxOf(fullAt.get() + interval - headroom, clock().microseconds))
}
