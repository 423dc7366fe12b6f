package azuredale.peers

import azuredale.engine.ServerLoad
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.membership.ByteTokenBucket
import azuredale.time.Timestamp

/**
 * Decides when this router reports loads before the next regular report is due.
 *
 * Only routers of fleets with relays do. The first early reports after a calm time go at once; changes that go on cost
 * each receiver a limited number of bytes a second.
 */
internal class EarlyReports(
    private val view: StoreView,
    private val statistics: ServerStatistics,
    private val topology: RelayTopology,
    private val writer: ReportWriter,
    noticeableMilliseconds: () -> Double?,
) {
    private val urgency =
        LoadUrgency(
            predict = { server, load ->
                view.directory.byIdHash[server]?.let {
                    statistics.remainingTokens(load) * statistics.prefillSpeed(it.id).millisecondsPerToken
                }
            },
            noticeableMilliseconds = noticeableMilliseconds,
        )
    private val bucket = ByteTokenBucket(BYTES_PER_SECOND, BURST_BYTES)
    private var nextAt = Timestamp.DISTANT_PAST
    private var seenChanges = -1L

    /** Number of rounds of early reports, for metrics. */
    var rounds: Long = 0
        private set

    /** The scopes whose loads should be reported now; empty if the next regular report is early enough. */
    fun dueScopes(now: Timestamp): List<ReportScope> {
        if (topology.isMesh || now < nextAt || statistics.loads.changes == seenChanges) return emptyList()
        bucket.refill(now)
        if (bucket.available < LEAST_BYTES) return emptyList()
        seenChanges = statistics.loads.changes
        val scopes = if (topology.isRelay) RELAYED else OWN
        return scopes.filter { scope ->
            urgency.isUrgent(writer.reported(scope), writer.loads(scope, now)) { server ->
                view.directory.byIdHash[server]?.let { statistics.loads.load(it.id, server, now) } ?: ServerLoad.NONE
            }
        }
    }

    /** Records that an early report with [bytes] for each receiver was sent. */
    fun recordSent(bytes: Int, now: Timestamp) {
        rounds++
        bucket.withdraw(bytes)
        nextAt = now.plusMilliseconds(SPACING_MILLISECONDS)
    }

    companion object {
        private val OWN = listOf(ReportScope.ROUTER)
        private val RELAYED = listOf(ReportScope.FAILURE_DOMAIN, ReportScope.FLEET)

        /** Bytes a second of early reports that each receiver gets on the mean; a node may get 9,000 in all. */
        private const val BYTES_PER_SECOND = 1_500

        /** Early reports of a usual size that may go at once after a calm time. */
        private const val BURST_BYTES = 3_000

        /** Smallest size of an early report. */
        private const val LEAST_BYTES = 200.0

        /** Shortest time between early reports, in which a request of a usual size is read. */
        private const val SPACING_MILLISECONDS = 60L
    }
}
