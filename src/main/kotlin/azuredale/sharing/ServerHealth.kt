package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Outlier ejection for one backend server: excludes it after repeated failures, then probes it with one request at a
 * time.
 *
 * Failures seen by a single router have a higher threshold, since that router's own network may be at fault.
 */
internal class ServerHealth {
    private var failures = 0
    private var ejectionLevel = 0
    private val reportingRouters = HashSet<RouterId>()

    /** Time before which the server receives no requests; null while it is not ejected. */
    var ejectedUntil: Timestamp? = null
        private set

    val isEjected: Boolean get() = ejectedUntil != null

    /** Maximum number of requests in flight that the server's health allows. */
    fun maximumInFlight(now: Timestamp): Int {
        val until = ejectedUntil ?: return Int.MAX_VALUE
        return if (now < until) 0 else 1
    }

    /** Records a success; returns true when it ends an ejection. */
    fun succeeded(): Boolean {
        val wasEjected = isEjected
        failures = 0
        ejectionLevel = 0
        reportingRouters.clear()
        ejectedUntil = null
        return wasEjected
    }

    /** Records a failure seen by [router]; returns true when it causes the server to be ejected. */
    fun failed(router: RouterId, now: Timestamp): Boolean {
        val until = ejectedUntil
        if (until != null && now < until) return false
        failures++
        reportingRouters += router
        val threshold = if (reportingRouters.size > 1) FAILURE_THRESHOLD else SINGLE_ROUTER_FAILURE_THRESHOLD
        if (until == null && failures < threshold) return false
        ejectionLevel = minOf(ejectionLevel + 1, MAXIMUM_EJECTION_LEVEL)
        ejectedUntil = now.plusMilliseconds(FIRST_EJECTION_MILLISECONDS shl (ejectionLevel - 1))
        return until == null
    }

    private companion object {
        const val FAILURE_THRESHOLD = 3
        const val SINGLE_ROUTER_FAILURE_THRESHOLD = 5
        const val MAXIMUM_EJECTION_LEVEL = 6
        const val FIRST_EJECTION_MILLISECONDS = 1_000L
    }
}
