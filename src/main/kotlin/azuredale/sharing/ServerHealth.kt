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
    private var level = 0
    private val witnesses = HashSet<RouterId>()

    /** Time before which the server receives no requests; null while it is not ejected. */
    var ejectedUntil: Timestamp? = null
        private set

    val isEjected: Boolean get() = ejectedUntil != null

    /** Maximum number of requests in flight that the server's health allows. */
    fun bound(now: Timestamp): Int {
        val until = ejectedUntil ?: return Int.MAX_VALUE
        return if (now < until) 0 else 1
    }

    /** Records a success; returns true when it ends an ejection. */
    fun succeeded(): Boolean {
        val wasEjected = isEjected
        failures = 0
        level = 0
        witnesses.clear()
        ejectedUntil = null
        return wasEjected
    }

    /** Records a failure seen by [router]; returns true when it causes the server to be ejected. */
    fun failed(router: RouterId, now: Timestamp): Boolean {
        val until = ejectedUntil
        if (until != null && now < until) return false
        failures++
        witnesses += router
        val threshold = if (witnesses.size > 1) FAILURES else FAILURES_OF_ONE_ROUTER
        if (until == null && failures < threshold) return false
        level = minOf(level + 1, HIGHEST_LEVEL)
        ejectedUntil = now.plusMilliseconds(FIRST_EJECTION_MILLISECONDS shl (level - 1))
        return until == null
    }

    private companion object {
        const val FAILURES = 3
        const val FAILURES_OF_ONE_ROUTER = 5
        const val HIGHEST_LEVEL = 6
        const val FIRST_EJECTION_MILLISECONDS = 1_000L
    }
}
