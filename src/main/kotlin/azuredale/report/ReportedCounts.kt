package azuredale.report

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** Request counts of recent minutes, limited to [maximumEntries] entries. */
internal class RecentCounts(private val maximumEntries: Int) {
    private val entries = HashMap<Pair<BurnKey, Long>, WindowCounts>()
    private var evictedBefore = Long.MIN_VALUE

    val size: Int get() = entries.size

    operator fun get(key: BurnKey, minute: Long): WindowCounts? = entries[key to minute]

    fun add(key: BurnKey, minute: Long, counts: WindowCounts): Boolean =
        set(key, minute, (entries[key to minute] ?: WindowCounts.ZERO) + counts)

    fun set(key: BurnKey, minute: Long, counts: WindowCounts): Boolean {
        val fits = entries.size < maximumEntries || (key to minute) in entries
        if (fits) entries[key to minute] = counts
        return fits
    }

    fun evictBefore(minute: Long) {
        if (minute <= evictedBefore) return
        evictedBefore = minute
        entries.keys.removeIf { it.second < minute }
    }
}

/** Counts of recent minutes received from other routers, for the latest incarnation of each. */
internal class ReportedCounts(private val maximumEntries: Int) {
    private class Source(
        val incarnation: Incarnation,
        val counts: RecentCounts,
        var reportedAt: Timestamp,
    )

    private val sources = HashMap<RouterId, Source>()

    /** Records that [router] sent a report; returns false for an older incarnation or when too many routers report. */
    fun beginReport(router: RouterId, incarnation: Incarnation, now: Timestamp, oldestMinute: Long): Boolean {
        val known = sources[router]
        if (known != null && known.incarnation > incarnation) return false
        sources.values.forEach { it.counts.evictBefore(oldestMinute) }
        if (known?.incarnation == incarnation) {
            known.reportedAt = now
        } else if (known != null || sources.size < MAXIMUM_ROUTERS) {
            // Counts of the previous incarnation stay in the totals, since those requests did happen.
            sources[router] = Source(incarnation, RecentCounts(maximumEntries), now)
        }
        return router in sources
    }

    /** Replaces the counts of [router] and returns the difference, or null if the table is full. */
    fun replace(router: RouterId, key: BurnKey, minute: Long, counts: WindowCounts): WindowCounts? {
        val source = sources.getValue(router)
        val earlier = source.counts[key, minute]
        if (earlier == null && sources.values.sumOf { it.counts.size } >= maximumEntries) return null
        source.counts.set(key, minute, counts)
        return counts - (earlier ?: WindowCounts.ZERO)
    }

    /** Returns those of [routers] that have not reported recently. */
    fun missing(routers: Collection<RouterId>, now: Timestamp): List<RouterId> = routers
        .filter { router -> sources[router]?.let { now.secondsSince(it.reportedAt) > REPORT_TIMEOUT_SECONDS } ?: true }
        .sortedBy { it.name }

    private companion object {
        const val MAXIMUM_ROUTERS = 1_024
        const val REPORT_TIMEOUT_SECONDS = 60.0
    }
}
