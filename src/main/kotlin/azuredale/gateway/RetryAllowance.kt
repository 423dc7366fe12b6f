package azuredale.gateway

import azuredale.identity.PoolId
import azuredale.time.Timestamp

/**
 * Limits how often this router sends requests once more, as its part of a bound for the whole fleet.
 *
 * In any window the fleet may repeat a share of a pool's requests and a fixed number besides. Each router spends the
 * share of its own requests and an equal part of the fixed number. The number of routers errs high, so that a wrong
 * view of the fleet errs low here.
 *
 * @param routers the largest number of routers that were seen lately.
 */
internal class RetryAllowance(
    private val bounds: FleetBounds,
    private val routers: () -> Int,
) {
    private class Window {
        val requests = ArrayDeque<Timestamp>()
        val repeats = ArrayDeque<Timestamp>()
    }

    private val pools = HashMap<PoolId, Window>()

    /** Counts a request of a caller for [pool]. */
    fun requested(pool: PoolId, now: Timestamp) {
        val window = trimmed(pool, now)
        window.requests.addLast(now)
        if (window.requests.size > MAXIMUM_COUNTED) window.requests.removeFirst()
    }

    /** Takes one repeat for [pool]; false when the allowance is used up. */
    fun take(pool: PoolId, now: Timestamp): Boolean {
        val window = trimmed(pool, now)
        val share = bounds.retryRatio * window.requests.size * SAFETY
        val headroom = bounds.retryHeadroom * SAFETY / routers().coerceAtLeast(1)
        if (window.repeats.size + 1 > share + headroom) return false
        window.repeats.addLast(now)
        return true
    }

    private fun trimmed(pool: PoolId, now: Timestamp): Window {
        val window = pools.getOrPut(pool) { Window() }
        val start = now.plusMilliseconds(-bounds.retryWindow)
        while (window.requests.isNotEmpty() && window.requests.first() < start) window.requests.removeFirst()
        // A repeat counts a little longer than the window, because the fleet's windows slide over all clocks.
        val repeatStart = start.plusMilliseconds(-REPEAT_SLACK_MILLISECONDS)
        while (window.repeats.isNotEmpty() && window.repeats.first() < repeatStart) window.repeats.removeFirst()
        return window
    }

    private companion object {
        /** Part of the bound that is used, for requests and repeats that fall on different sides of a window's edge. */
        const val SAFETY = 0.8
        const val REPEAT_SLACK_MILLISECONDS = 500L

        /** Bounds memory; a router of today's size has fewer requests in a window. */
        const val MAXIMUM_COUNTED = 20_000
    }
}
