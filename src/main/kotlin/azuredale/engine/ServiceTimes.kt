package azuredale.engine

import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.math.exp

/** Usual time of a request at each plain service of one pool, and how many requests this router gets answered. */
internal class ServiceTimes {
    private class Average {
        var milliseconds = 0.0
        var requests = 0

        fun record(value: Double, maximumWeight: Int) {
            requests = (requests + 1).coerceAtMost(maximumWeight)
            milliseconds += (value - milliseconds) / requests
        }
    }

    private val pool = Average()
    private val servers = HashMap<ServerId, Average>()
    private var count = 0.0
    private var updatedAt = Timestamp.DISTANT_PAST

    /** Usual milliseconds of a request to any server; 0 until one was answered. */
    val poolMilliseconds: Double get() = pool.milliseconds

    /** Records that a request that found a free slot took [milliseconds] at [server]. */
    fun record(server: ServerId, milliseconds: Double, now: Timestamp) {
        pool.record(milliseconds, POOL_WEIGHT)
        servers.getOrPut(server) { Average() }.record(milliseconds, SERVER_WEIGHT)
        count = current(now) + 1
        updatedAt = now
    }

    /** Usual milliseconds of a request to [server], those of the pool as long as few were answered. */
    fun milliseconds(server: ServerId): Double {
        val own = servers[server] ?: return pool.milliseconds
        return (own.milliseconds * own.requests + pool.milliseconds * PRIOR_WEIGHT) / (own.requests + PRIOR_WEIGHT)
    }

    /** Requests of this router answered per second within the last seconds. */
    fun ratePerSecond(now: Timestamp): Double = current(now) / WINDOW_SECONDS

    /** Drops the servers that are not [present]. */
    fun retain(present: Set<ServerId>) {
        servers.keys.retainAll(present)
    }

    private fun current(now: Timestamp): Double =
        if (count == 0.0) 0.0 else count * exp(-now.secondsSince(updatedAt) / WINDOW_SECONDS)

    private companion object {
        /** The averages change by one in this number of a request. */
        const val POOL_WEIGHT = 128
        const val SERVER_WEIGHT = 32

        /** Requests to one server that weigh as much as what is known of its pool. */
        const val PRIOR_WEIGHT = 8
        const val WINDOW_SECONDS = 2.0
    }
}
