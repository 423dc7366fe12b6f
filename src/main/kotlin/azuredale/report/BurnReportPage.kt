package azuredale.report

import java.util.Locale

/** Renders the burn-rate report as a self-contained HTML page with an inline SVG plot. */
internal class BurnReportPage(private val report: BurnReport) {
    fun render(): String = buildString {
        append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn-rate report</title>")
        append("<style>$STYLE</style></head><body><h1>Burn-rate report</h1>")
        if (report.missing.isNotEmpty()) {
            append("<p class=\"FAST\">No counts from ${report.missing.size} routers: ")
            append(escape(report.missing.joinToString(" ") { it.name })).append("</p>")
        }
        if (report.droppedCounts > 0) append("<p class=\"SLOW\">Counts dropped: ${report.droppedCounts}</p>")
        append(plot())
        append(table())
        append("<h2>Latencies on this router</h2><ul>")
        report.latencies.forEach { (pool, times) ->
            append("<li>${escape(pool.name)}: first token ${BurnReport.milliseconds(times.first)}, ")
            append("between tokens ${BurnReport.milliseconds(times.second)}</li>")
        }
        append("</ul></body></html>\n")
    }

    private fun table(): String = buildString {
        append("<table><tr><th>team</th><th>pool</th><th>alert</th>")
        BurnWindow.entries.forEach { append("<th>${it.label}</th>") }
        append("<th>ended (1h)</th><th>missed</th><th>failed</th></tr>")
        report.rows.forEach { line ->
            append("<tr class=\"${line.alert}\"><td>${escape(line.key.team.name)}</td>")
            append("<td>${escape(line.key.pool.name)}</td><td>${line.alert.name.lowercase()}</td>")
            BurnWindow.entries.forEach { append("<td>${BurnReport.decimal(line.rates.getValue(it))}</td>") }
            val hour = line.windows.getValue(BurnWindow.FAST_LONG)
            append("<td>${hour.ended}</td><td>${hour.missed}</td><td>${hour.failed}</td></tr>")
        }
        append("</table>")
    }

    /** Plots the rows with the highest burn rates over the last hour; the dashed line is the fast alert's threshold. */
    private fun plot(): String = buildString {
        val largest = maxOf(report.objective.fastAlertRate, report.series.flatMap { it.rates }.maxOrNull() ?: 0.0)

        fun height(rate: Double) = number(HEIGHT - rate / largest * HEIGHT)
        append("<svg viewBox=\"-40 -10 ${WIDTH + LEGEND} ${HEIGHT + MARGIN}\" role=\"img\">")
        append("<title>Burn rate per minute</title>")
        append("<path class=\"axis\" d=\"M0 0V${HEIGHT}H$WIDTH\"/>")
        append("<text x=\"-36\" y=\"6\">${BurnReport.decimal(largest)}</text><text x=\"-36\" y=\"$HEIGHT\">0</text>")
        append("<text x=\"0\" y=\"${HEIGHT + LINE}\">one hour ago</text>")
        append("<text x=\"${WIDTH - LINE}\" y=\"${HEIGHT + LINE}\">now</text>")
        val alert = height(report.objective.fastAlertRate)
        append("<path class=\"alert\" d=\"M0 ${alert}H$WIDTH\"/>")
        report.series.forEachIndexed { index, plot ->
            val step = WIDTH.toDouble() / (plot.rates.size - 1).coerceAtLeast(1)
            val points = plot.rates.withIndex().joinToString(" ") { "${number(it.index * step)},${height(it.value)}" }
            append("<polyline stroke=\"${COLOURS[index % COLOURS.size]}\" points=\"$points\"/>")
            append("<text x=\"${WIDTH + LINE}\" y=\"${LINE * (index + 1)}\" fill=\"${COLOURS[index % COLOURS.size]}\">")
            append(escape("${plot.key.team} / ${plot.key.pool}")).append("</text>")
        }
        append("</svg>")
    }

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

    private fun escape(text: String): String = buildString {
        text.forEach { append(ESCAPES[it] ?: it) }
    }

    private companion object {
        const val WIDTH = 600
        const val HEIGHT = 200
        const val LEGEND = 280
        const val MARGIN = 40
        const val LINE = 18
        val ESCAPES = mapOf('&' to "&amp;", '<' to "&lt;", '>' to "&gt;", '"' to "&quot;", '\'' to "&#39;")
        val COLOURS = listOf("#1b6ca8", "#b3541e", "#3c7a3c", "#7a3c72", "#8a7a1f", "#555555")
        const val STYLE =
            "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}" +
                "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}" +
                ".FAST{background:#f6d0d0}.SLOW{background:#f6ecc8}svg{max-width:60em}svg text{font-size:11px}" +
                "polyline{fill:none;stroke-width:1.5}" +
                ".axis{fill:none;stroke:#444}.alert{stroke:#b00;stroke-dasharray:4 3}"
    }
}
