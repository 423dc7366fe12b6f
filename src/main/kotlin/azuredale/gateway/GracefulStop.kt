package azuredale.gateway

import azuredale.time.Timestamp

/**
 * A planned stop of this router: it serves on while callers still know its address, and every request that it has read
 * gets an answer before the process ends.
 */
internal class GracefulStop(private val bounds: FleetBounds) {
    private val durations = DurationEstimator()
    private var begunAt: Timestamp? = null

    /** Whether the stop has begun. */
    val isBegun: Boolean get() = begunAt != null

    /** When requests that are still in progress are given up; null if no stop has begun. */
    val endsAt: Timestamp? get() =
        begunAt?.plusMilliseconds(bounds.gracePeriodMilliseconds - ANSWER_MARGIN_MILLISECONDS)

    /** Records that a request of [route] took [milliseconds] from its sending to the end of the response. */
    fun recordDuration(route: String, milliseconds: Double) = durations.record(route, milliseconds)

    /** Begins the stop; returns whether it had not begun before. */
    fun begin(now: Timestamp): Boolean {
        if (isBegun) return false
        begunAt = now
        return true
    }

    /** Whether the stop has lasted long enough that callers no longer cache this router's address. */
    fun isClosed(now: Timestamp): Boolean =
        begunAt?.let { now >= it.plusMilliseconds(ADDRESS_CACHE_MILLISECONDS) } == true

    /**
     * Whether a request of [route] that begins at [now] can end before the router does.
     *
     * It can if its [deadline] is earlier, or if requests of the route usually take less than the time that is left.
     */
    fun canFinish(route: String, deadline: Timestamp, now: Timestamp): Boolean {
        val end = endsAt ?: return true
        if (deadline <= end) return true
        val usual = durations.usualMilliseconds(route) ?: return false
        return now.plusMilliseconds(usual.toLong()) <= end
    }

    private companion object {
        /**
         * Some callers cache an address response with a lifetime of one second for three seconds. A later request might
         * not finish within the grace period, so its caller is sent to another router.
         */
        const val ADDRESS_CACHE_MILLISECONDS = 2_700L

        /** Reserved at the end of the grace period for the last answers and the end of the process. */
        const val ANSWER_MARGIN_MILLISECONDS = 700L
    }
}
