package azuredale.report

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.Incarnation
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.protocol.BurnCount
import azuredale.protocol.BurnCounts
import azuredale.time.Timestamp

/** Team and pool by which requests are counted. */
public data class BurnKey(
    val team: TeamId,
    val pool: PoolId,
)

/**
 * Counts ended, missed and failed requests of this router and of the routers that report to it, by team, pool and
 * minute.
 *
 * ```
 * tracker.requestEnded(BurnKey(team, pool), EndedRequest(hasFailed = false, firstTokenMicroseconds = 80_000), now)
 * val page = tracker.report(members.map { it.router }, now).toHtml()
 * ```
 *
 * @param objective shown in the report and, by default, applied to every pool.
 * @param objectiveOf returns the objective of a pool; called while the table is locked, so it must not take a lock.
 * @param maximumRows limit on pairs of team and pool; counts of further pairs are dropped and add to [droppedCounts].
 */
public class BurnTracker(
    private val self: RouterId,
    private val incarnation: Incarnation,
    private val objective: ServiceLevelObjective = ServiceLevelObjective(),
    private val objectiveOf: (PoolId) -> ServiceLevelObjective = { objective },
    maximumRows: Int = 6_000,
) {
    private val rows = Table<BurnKey, WindowedCounts>("burn counts", "BurnTracker", maximumRows, LockRank.REPORTS)
    private val latencies = LatencyTable()
    private val ownCounts = RecentCounts(MAXIMUM_OWN_COUNTS)
    private val receivedCounts = ReportedCounts(MAXIMUM_RECEIVED_COUNTS)
    private val unsentCounts = LinkedHashSet<Pair<BurnKey, Long>>()

    /** Counts dropped because a table was full, or because they were late or invalid. */
    @Volatile
    public var droppedCounts: Long = 0
        private set

    /** Counts a request that ended on this router. */
    public fun requestEnded(key: BurnKey, request: EndedRequest, now: Timestamp): Unit = rows.locked {
        val minute = minuteOf(now)
        val poolObjective = objectiveOf(key.pool)
        val isSlow =
            isLonger(request.firstTokenMicroseconds, poolObjective.firstTokenMicroseconds) ||
                isLonger(request.betweenTokensMicroseconds, poolObjective.betweenTokensMicroseconds)
        val missed = if (isSlow && !request.hasFailed) 1L else 0L
        val counts = WindowCounts(1, missed, if (request.hasFailed) 1 else 0)
        latencies.record(key.pool, request, minute)
        ownCounts.evictBefore(minute - CORRECTION_MINUTES)
        if (add(key, minute, counts) &&
            ownCounts.add(key, minute, counts)
        ) {
            unsentCounts += key to minute
        } else {
            droppedCounts++
        }
    }

    /**
     * Returns at most [maximumCounts] counts that changed since they were last taken, oldest minutes first.
     *
     * Each count is the total of its minute, so the receiver can replace an earlier value. An empty message is still
     * sent, as it shows the aggregating routers that this router is reporting.
     */
    public fun takeCounts(now: Timestamp, maximumCounts: Int = 200): BurnCounts = rows.locked {
        val chosen = unsentCounts.sortedBy { it.second }.take(maximumCounts)
        unsentCounts.removeAll(chosen.toSet())
        val counts =
            chosen.mapNotNull { (key, minute) ->
                ownCounts[key, minute]?.let { BurnCount(key.team, key.pool, minute, it.ended, it.missed, it.failed) }
            }
        ownCounts.evictBefore(minuteOf(now) - CORRECTION_MINUTES)
        BurnCounts(incarnation, counts)
    }

    /** Merges counts from another router; a count replaces the earlier one of the same minute and incarnation. */
    public fun merge(from: RouterId, message: BurnCounts, now: Timestamp): Unit = rows.locked {
        val minute = minuteOf(now)
        if (from == self ||
            !receivedCounts.beginReport(from, message.incarnation, now, minute - CORRECTION_MINUTES)
        ) {
            return@locked
        }
        message.counts.forEach { count ->
            val key = BurnKey(count.team, count.pool)
            val counts = WindowCounts(count.ended, count.missed, count.failed)
            val isAcceptable = count.minute in minute - CORRECTION_MINUTES..minute + 1 && counts.isValid()
            val change = if (isAcceptable) receivedCounts.replace(from, key, count.minute, counts) else null
            if (change == null || !add(key, count.minute, change)) droppedCounts++
        }
    }

    /** Builds a report; those of [routers] that have not reported recently are listed as missing. */
    public fun report(routers: Collection<RouterId>, now: Timestamp): BurnReport = rows.locked {
        val minute = minuteOf(now)
        val lines =
            rows.entries
                .map { (key, row) -> line(key, row, minute) }
                .filter { line -> line.windows.values.any { it.ended > 0 } }
                .sortedByDescending { it.rates.getValue(BurnWindow.FAST_LONG) }
        val plots =
            lines.take(PLOTTED_ROWS).map { line ->
                val row = checkNotNull(rows[line.key])
                BurnRateSeries(
                    line.key,
                    (minute - PLOTTED_MINUTES + 1..minute).map { line.objective.burnRate(row.minute(it)) },
                )
            }
        val missing = receivedCounts.missing(routers.filter { it != self }, now)
        BurnReport(now, objective, lines, latencies.summaries(minute), missing, plots, droppedCounts)
    }

    private fun line(key: BurnKey, row: WindowedCounts, minute: Long): BurnReportRow {
        val windows = BurnWindow.entries.associateWith { row.sum(minute, it) }
        val poolObjective = objectiveOf(key.pool)
        return BurnReportRow(key, windows, windows.mapValues { poolObjective.burnRate(it.value) }, poolObjective)
    }

    private fun add(key: BurnKey, minute: Long, counts: WindowCounts): Boolean {
        val row = rows[key] ?: WindowedCounts().takeIf { rows.put(key, it) } ?: return false
        row.add(minute, counts)
        return true
    }

    private fun isLonger(time: Long?, bound: Long) = time != null && time > bound

    private fun WindowCounts.isValid() = missed >= 0 && failed >= 0 && ended in bad..MAXIMUM_COUNT

    private fun minuteOf(now: Timestamp) = now.microseconds / MICROSECONDS_PER_MINUTE

    private companion object {
        const val MICROSECONDS_PER_MINUTE = 60 * Timestamp.MICROSECONDS_PER_SECOND

        /** Counts of a minute can be corrected for this long, which covers a few reconnections. */
        const val CORRECTION_MINUTES = 5
        const val MAXIMUM_OWN_COUNTS = 32_768
        const val MAXIMUM_RECEIVED_COUNTS = 131_072
        const val PLOTTED_ROWS = 6
        const val PLOTTED_MINUTES = 60

        /** Exceeds what one router can serve in a minute; a larger count is invalid. */
        const val MAXIMUM_COUNT = 1_000_000L
    }
}
