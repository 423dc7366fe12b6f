package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/**
 * Limit of a server process as reported between routers.
 *
 * @property server hash of the server's id.
 * @property startedAtMilliseconds start of the process in Unix milliseconds, which tells it from others under that id.
 * @property requestsPerSecond what the server takes from all routers together, null if it no longer names a limit.
 * @property heardAt when the answer that named it, or named none, was received.
 */
internal class ServerLimitRecord(
    val server: Int,
    val startedAtMilliseconds: Long,
    val requestsPerSecond: Double?,
    val heardAt: Timestamp,
)

/**
 * Limits on the request rate that servers name in their answers, and what this router may send under them.
 *
 * A server's limit holds for all routers together. Each router takes the part of it that corresponds to its part of the
 * requests in progress at the pool, so that the parts add up to the limit wherever callers connect. As a second bound,
 * no router sends while the requests that all of them reported for the last seconds exceed the limit.
 *
 * @param random returns a random number from 0 to 1; without it, all routers would begin and send at the same moments.
 * @param routers the largest number of routers seen recently.
 * @param onChange called when a server names another limit, or none any more.
 */
internal class ServerLimits(
    private val loads: LoadTracker,
    private val routers: () -> Int,
    private val random: () -> Double,
    private val onChange: (ServerId, requestsPerSecond: Double?) -> Unit,
) {
    private class Limit(
        val server: BackendEntry,
        val requestsPerSecond: Double?,
        val heardAt: Timestamp,
        val changedAt: Timestamp,
        val allowance: Allowance,
    )

    /** Requests that this router may send, and those that it has sent. */
    private class Allowance(
        var tokens: Double,
        var refilledAt: Timestamp,
    ) {
        val sent = ArrayDeque<Timestamp>()
    }

    private class PoolShare(
        val fraction: Double,
        val validUntil: Timestamp,
    )

    private val limits = HashMap<ServerId, Limit>()
    private val shares = HashMap<ServerId, PoolShare>()

    /** Records the limit in an answer of [server], null if the answer named none. */
    fun recordAnswer(server: BackendEntry, requestsPerSecond: Double?, now: Timestamp) {
        if (requestsPerSecond != null || server.id in limits) update(server, requestsPerSecond, now, now)
    }

    /** Applies a limit that another router reported for [server]. */
    fun merge(server: BackendEntry, record: ServerLimitRecord, now: Timestamp) {
        if ((server.startedAtMilliseconds ?: 0) != record.startedAtMilliseconds) return
        val known = limits[server.id]
        if (known == null && record.requestsPerSecond == null) return
        if (known != null && record.heardAt <= known.heardAt) return
        update(server, record.requestsPerSecond, record.heardAt, now)
    }

    /** Whether this router may send a request to [server] now; [pool] are the servers that share its load. */
    fun allowsRequest(server: BackendEntry, pool: List<BackendEntry>, now: Timestamp): Boolean {
        val limit = limits[server.id] ?: return true
        val rate = limit.requestsPerSecond?.coerceAtLeast(MINIMUM_RATE) ?: return true
        refill(limit.allowance, rate * share(server, pool, now), now)
        return limit.allowance.tokens >= 1 && fleetRequests(limit, now) < rate * WINDOW_SECONDS
    }

    /** Records that a request is sent to [server]. */
    fun recordSent(server: BackendEntry, now: Timestamp) {
        val allowance = limits[server.id]?.allowance ?: return
        allowance.tokens -= 1
        allowance.sent.addLast(now)
        if (allowance.sent.size > MAXIMUM_SENT) allowance.sent.removeFirst()
    }

    /** Requests sent by this router to [server] within the window, if the server names a limit. */
    fun sentRequests(server: ServerId, now: Timestamp): Int = limits[server]?.allowance?.let { countSent(it, now) } ?: 0

    /** Servers to which this router sends under a limit. */
    val limitedServers: Set<ServerId> get() = limits.keys

    /** The limits that changed recently, for reports to other routers. */
    fun recentChanges(now: Timestamp): List<ServerLimitRecord> = limits.values
        .filter { now < it.changedAt.plusMilliseconds(REPEAT_MILLISECONDS) }
        .sortedByDescending { it.changedAt }
        .map {
            ServerLimitRecord(it.server.idHash, it.server.startedAtMilliseconds ?: 0, it.requestsPerSecond, it.heardAt)
        }

    /** Drops the limits of server processes that are no longer registered. */
    fun updateDirectory(directory: ServerDirectory) {
        limits.entries.removeIf { (id, limit) ->
            directory.entries[id]?.startedAtMilliseconds != limit.server.startedAtMilliseconds
        }
        shares.keys.retainAll(directory.entries.keys)
    }

    private fun update(server: BackendEntry, requestsPerSecond: Double?, heardAt: Timestamp, now: Timestamp) {
        val known = limits[server.id]
        val isChanged = known == null || known.requestsPerSecond != requestsPerSecond
        limits[server.id] =
            Limit(
                server = server,
                requestsPerSecond = requestsPerSecond,
                heardAt = heardAt,
                changedAt = if (isChanged) now else checkNotNull(known).changedAt,
                allowance = known?.allowance ?: Allowance(random(), now),
            )
        if (isChanged) onChange(server.id, requestsPerSecond)
    }

    private fun refill(allowance: Allowance, rate: Double, now: Timestamp) {
        val seconds = now.microsecondsSince(allowance.refilledAt).toDouble() / MICROSECONDS_PER_SECOND
        allowance.tokens = (allowance.tokens + seconds * rate).coerceAtMost(maxOf(1.0, rate * BURST_SECONDS))
        allowance.refilledAt = now
    }

    /** Requests of all routers to the server within the window, as far as reported. */
    private fun fleetRequests(limit: Limit, now: Timestamp): Int =
        countSent(limit.allowance, now) + loads.reportedLoad(limit.server.idHash, now).recentRequests

    private fun countSent(allowance: Allowance, now: Timestamp): Int {
        val start = now.plusMicroseconds(-WINDOW_SECONDS * MICROSECONDS_PER_SECOND)
        while (allowance.sent.isNotEmpty() && allowance.sent.first() < start) allowance.sent.removeFirst()
        return allowance.sent.size
    }

    /** This router's part of the requests in progress at [pool]; the parts of all routers add up to one. */
    private fun share(server: BackendEntry, pool: List<BackendEntry>, now: Timestamp): Double {
        shares[server.id]?.takeIf { now < it.validUntil }?.let { return it.fraction }
        val own = pool.sumOf { loads.localLoad(it.id).running }
        val all = pool.sumOf { loads.load(it.id, it.idHash, now).running }
        // One request more for each router lets a router without requests in progress begin.
        val fraction = (own + 1.0) / (all + routers().coerceAtLeast(1))
        shares[server.id] = PoolShare(fraction, now.plusMilliseconds(SHARE_VALID_MILLISECONDS))
        return fraction
    }

    private companion object {
        const val MICROSECONDS_PER_SECOND = 1_000_000L

        /** Long enough to smooth over the bursts of single routers. */
        const val WINDOW_SECONDS = 4L

        /** A router may send again after a short pause what it has not used before. */
        const val BURST_SECONDS = 0.25

        /** A server that takes nothing still gets a request now and then; only an answer shows that the limit ended. */
        const val MINIMUM_RATE = 0.5

        /** The sums over a pool change little within this time. */
        const val SHARE_VALID_MILLISECONDS = 50L

        /** A change is in several reports, since a datagram may be lost. */
        const val REPEAT_MILLISECONDS = 1_500L

        /** Bounds memory if a server names a very high limit. */
        const val MAXIMUM_SENT = 4_096
    }
}
