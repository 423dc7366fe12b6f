package azuredale.report

import azuredale.identity.PoolId
import org.HdrHistogram.Histogram

/** Latency percentiles in microseconds. */
public data class LatencySummary(
    val count: Long,
    val median: Long,
    val percentile95: Long,
    val percentile99: Long,
    val largest: Long,
)

/** First-token and between-token latencies of this router by pool, over the current and the previous clock hour. */
internal class LatencyTable(private val maximumPools: Int = 64) {
    private class PoolHistograms {
        val firstToken = Histogram(1, LARGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        val betweenTokens = Histogram(1, LARGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    }

    private var current = HashMap<PoolId, PoolHistograms>()
    private var previous = HashMap<PoolId, PoolHistograms>()
    private var currentHour = 0L

    fun record(pool: PoolId, request: EndedRequest, minute: Long) {
        rotate(minute)
        val histograms =
            current[pool] ?: if (current.size < maximumPools) PoolHistograms().also { current[pool] = it } else return
        request.firstTokenMicroseconds?.let { histograms.firstToken.recordValue(it.coerceIn(1, LARGEST_MICROSECONDS)) }
        request.betweenTokensMicroseconds?.let {
            histograms.betweenTokens.recordValue(
                it.coerceIn(1, LARGEST_MICROSECONDS),
            )
        }
    }

    /** Returns the first-token and between-token summaries of each pool. */
    fun summaries(minute: Long): Map<PoolId, kotlin.Pair<LatencySummary, LatencySummary>> {
        rotate(minute)
        return (previous.keys + current.keys).sortedBy { it.name }.associateWith { pool ->
            val pairs = listOfNotNull(previous[pool], current[pool])
            summary(pairs.map { it.firstToken }) to summary(pairs.map { it.betweenTokens })
        }
    }

    private fun rotate(minute: Long) {
        val hour = minute / MINUTES_PER_HOUR
        if (hour == currentHour) return
        previous = if (hour == currentHour + 1) current else HashMap()
        current = HashMap()
        currentHour = hour
    }

    private fun summary(histograms: List<Histogram>): LatencySummary {
        val sum = Histogram(1, LARGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        histograms.forEach(sum::add)
        return LatencySummary(
            sum.totalCount,
            sum.getValueAtPercentile(MEDIAN),
            sum.getValueAtPercentile(PERCENTILE_95),
            sum.getValueAtPercentile(PERCENTILE_99),
            sum.maxValue,
        )
    }

    private companion object {
        const val LARGEST_MICROSECONDS = 600_000_000L
        const val SIGNIFICANT_DIGITS = 2
        const val MINUTES_PER_HOUR = 60
        const val MEDIAN = 50.0
        const val PERCENTILE_95 = 95.0
        const val PERCENTILE_99 = 99.0
    }
}
