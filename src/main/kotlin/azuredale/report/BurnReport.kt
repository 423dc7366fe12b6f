package azuredale.report

import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.time.Timestamp
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.util.Locale

/** Burn-rate alert, in ascending order of urgency. */
public enum class BurnAlert { NONE, SLOW, FAST }

/** Request counts and burn rates of one team in one pool, by window. */
public data class BurnReportRow(
    val key: BurnKey,
    val windows: Map<BurnWindow, WindowCounts>,
    val rates: Map<BurnWindow, Double>,
    val objective: ServiceLevelObjective,
) {
    /** The most urgent alert whose threshold is reached in both of its windows. */
    val alert: BurnAlert get() =
        when {
            exceeds(BurnWindow.FAST_SHORT, BurnWindow.FAST_LONG, objective.fastAlertRate) -> BurnAlert.FAST
            exceeds(BurnWindow.SLOW_SHORT, BurnWindow.SLOW_LONG, objective.slowAlertRate) -> BurnAlert.SLOW
            else -> BurnAlert.NONE
        }

    private fun exceeds(short: BurnWindow, long: BurnWindow, rate: Double) =
        rates.getValue(short) >= rate && rates.getValue(long) >= rate
}

/** Burn rate per minute, oldest first. */
public data class BurnRateSeries(
    val key: BurnKey,
    val rates: List<Double>,
)

/**
 * Snapshot of the SLO burn rates, sorted by descending burn rate over one hour.
 *
 * @property latencies first-token and between-token latencies by pool, measured on the router that built the report.
 * @property missing routers whose counts are absent or outdated.
 * @property droppedCounts counts dropped because a table was full, or because they were late or invalid.
 */
public class BurnReport(
    public val at: Timestamp,
    public val objective: ServiceLevelObjective,
    public val rows: List<BurnReportRow>,
    public val latencies: Map<PoolId, Pair<LatencySummary, LatencySummary>>,
    public val missing: List<RouterId>,
    public val series: List<BurnRateSeries>,
    public val droppedCounts: Long,
) {
    /** Formats the report as a plain-text table with fixed column widths. */
    public fun toText(): String = buildString {
        appendLine("burn rate of the error budget (objective ${percent(objective.goodFraction)}), ${rows.size} rows")
        if (missing.isNotEmpty()) appendLine("no counts from ${missing.size} routers: ${missing.joinToString(" ")}")
        if (droppedCounts > 0) appendLine("counts dropped: $droppedCounts")
        appendLine(format("team", "pool", "alert", BurnWindow.entries.map { it.label }, "ended", "missed", "failed"))
        rows.forEach { line ->
            val hour = line.windows.getValue(BurnWindow.FAST_LONG)
            val rates = BurnWindow.entries.map { decimal(line.rates.getValue(it)) }
            val counts = listOf(hour.ended, hour.missed, hour.failed).map { it.toString() }
            val alert = line.alert.name.lowercase()
            appendLine(format(line.key.team.name, line.key.pool.name, alert, rates, counts[0], counts[1], counts[2]))
        }
        latencies.forEach { (pool, times) ->
            appendLine(
                "${pool.name}: first token ${milliseconds(times.first)}, between tokens ${milliseconds(times.second)}",
            )
        }
    }

    /** Formats the report as JSON; all times are in microseconds. */
    public fun toJson(): JsonObject = buildJsonObject {
        put("atMicroseconds", at.microseconds)
        put("goodFraction", objective.goodFraction)
        put("droppedCounts", droppedCounts)
        putJsonArray("missing") { missing.forEach { add(it.name) } }
        putJsonArray("rows") { rows.forEach { line -> add(lineJson(line)) } }
        putJsonArray("latencies") {
            latencies.forEach { (pool, times) ->
                addJsonObject {
                    put("pool", pool.name)
                    put("firstToken", summaryJson(times.first))
                    put("betweenTokens", summaryJson(times.second))
                }
            }
        }
    }

    /** Formats the report as an HTML page that loads no external resources. */
    public fun toHtml(): String = BurnReportPage(this).render()

    private fun lineJson(line: BurnReportRow) = buildJsonObject {
        put("team", line.key.team.name)
        put("pool", line.key.pool.name)
        put("alert", line.alert.name)
        putJsonObject("windows") {
            line.windows.forEach { (window, counts) ->
                putJsonObject(window.label) {
                    put("ended", counts.ended)
                    put("missed", counts.missed)
                    put("failed", counts.failed)
                    put("burnRate", line.rates.getValue(window))
                }
            }
        }
    }

    private fun summaryJson(summary: LatencySummary) = buildJsonObject {
        put("count", summary.count)
        put("median", summary.median)
        put("percentile95", summary.percentile95)
        put("percentile99", summary.percentile99)
        put("largest", summary.largest)
    }

    private fun format(team: String, pool: String, alert: String, rates: List<String>, vararg counts: String) =
        team.padEnd(NAME_COLUMN) + pool.padEnd(NAME_COLUMN) + alert.padEnd(ALERT_COLUMN) +
            (rates + counts).joinToString("") { it.padStart(NUMBER_COLUMN) }

    internal companion object {
        private const val NAME_COLUMN = 24
        private const val ALERT_COLUMN = 6
        private const val NUMBER_COLUMN = 9
        private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

        fun decimal(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

        fun percent(fraction: Double): String = String.format(Locale.ROOT, "%.3g%%", fraction * 100)

        fun milliseconds(summary: LatencySummary): String {
            val times = listOf(summary.median, summary.percentile95, summary.percentile99)
            val text = times.joinToString("/") { String.format(Locale.ROOT, "%.1f", it / MICROSECONDS_PER_MILLISECOND) }
            return "$text ms (50th/95th/99th of ${summary.count})"
        }
    }
}
