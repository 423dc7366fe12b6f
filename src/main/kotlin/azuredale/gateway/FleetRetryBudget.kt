package azuredale.gateway

import azuredale.identity.PoolId
import azuredale.time.Timestamp

/**
 * What a retry is worth to a caller.
 *
 * @property usableFraction fraction of the retry budget that such a retry may use up; the rest is kept for retries that
 *   are worth more.
 */
internal enum class RetryWorth(val usableFraction: Double) {
    /** The server did not run the request, so its caller may return itself. */
    NOT_RUN(0.75),

    /** The caller got nothing although the request may have run. */
    UNANSWERED(0.9),

    /** The caller has the beginning of a stream, which is lost otherwise. */
    BROKEN_STREAM(1.0),
}

/**
 * Retry budget of this router: its part of a limit on retries across the whole fleet.
 *
 * In any window the fleet may retry a fraction of a pool's requests, plus a fixed headroom. Each router may retry that
 * fraction of its own requests, plus an equal part of the headroom. The number of routers is overestimated, so that an
 * inaccurate view of the fleet allows too few retries rather than too many.
 *
 * @param routers the largest number of routers seen recently.
 */
internal class FleetRetryBudget(
    private val bounds: FleetBounds,
    private val routers: () -> Int,
) {
    private class Window {
        val requests = ArrayDeque<Timestamp>()
        val retries = ArrayDeque<Timestamp>()
    }

    private val pools = HashMap<PoolId, Window>()

    /** Records a caller's request for [pool]. */
    fun recordRequest(pool: PoolId, now: Timestamp) {
        val window = currentWindow(pool, now)
        window.requests.addLast(now)
        if (window.requests.size > MAXIMUM_REQUESTS) window.requests.removeFirst()
    }

    /** Takes one retry for [pool] from the budget; returns false if the part for retries of this [worth] is used up. */
    fun tryAcquire(pool: PoolId, now: Timestamp, worth: RetryWorth = RetryWorth.BROKEN_STREAM): Boolean {
        val window = currentWindow(pool, now)
        val proportional = bounds.retryRatio * window.requests.size * SAFETY_FACTOR
        val headroom = bounds.retryHeadroom * SAFETY_FACTOR / routers().coerceAtLeast(1)
        val usable = (proportional + headroom) * if (window.retries.isEmpty()) 1.0 else worth.usableFraction
        if (window.retries.size + 1 > usable) return false
        window.retries.addLast(now)
        return true
    }

    private fun currentWindow(pool: PoolId, now: Timestamp): Window {
        val window = pools.getOrPut(pool) { Window() }
        val start = now.plusMilliseconds(-bounds.retryWindowMilliseconds)
        while (window.requests.isNotEmpty() && window.requests.first() < start) window.requests.removeFirst()
        // Retries count slightly longer than the window: the fleet limit holds at any offset and on any clock.
        val retryStart = start.plusMilliseconds(-RETRY_SLACK_MILLISECONDS)
        while (window.retries.isNotEmpty() && window.retries.first() < retryStart) window.retries.removeFirst()
        return window
    }

    private companion object {
        /** Fraction of the limit in use; the margin covers requests and retries on either side of a window's edge. */
        const val SAFETY_FACTOR = 0.8
        const val RETRY_SLACK_MILLISECONDS = 500L

        /** Bounds memory; a router receives fewer requests in a window. */
        const val MAXIMUM_REQUESTS = 20_000
    }
}
