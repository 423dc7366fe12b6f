package azuredale.measure

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.util.Locale

/** Prints the result of an experiment as a table or as JSON. */
internal class ReportPrinter(
    private val result: ExperimentResult,
    private val violations: List<String>,
) {
    private val figures = Figures(result).all()

    fun printText(output: Appendable) {
        val fault = result.fault?.label ?: "none"
        val profile = result.profile
        val loadSeconds = Figures.seconds(RunTimes.END - RunTimes.LOAD_START)
        output.appendLine(
            "profile ${profile.name}, ${profile.routers} routers, ${profile.shards} shards, fault $fault, " +
                "seed ${result.seed}, ${result.requests} requests in $loadSeconds s",
        )
        output.appendLine(ROW.format("measure", "unit", "system", "global", "alone", "ratio", "target"))
        figures.forEach { output.appendLine(row(it).trimEnd()) }
        result.profile.pools.forEach { output.appendLine("${it.id}: widest gap: ${widestGaps(it)}") }
        output.appendLine("answers: " + answers().joinToString { (kind, count) -> "$kind $count" })
        if (violations.isEmpty()) output.appendLine("promises: all kept")
        violations.forEach { output.appendLine("promise broken: $it") }
    }

    /** The pairs of teams between which the gap occurred. */
    private fun widestGaps(pool: PoolPlan): String =
        listOf("system" to result.system, "global" to result.global, "alone" to result.isolated)
            .mapNotNull { (name, run) ->
                run
                    .meter(pool.id)
                    .windows
                    .first()
                    .gap.figure
                    ?.let { name to it }
            }.joinToString { (name, figure) -> "$name between ${figure.first} and ${figure.second}" }

    fun printJson(output: Appendable) {
        output.appendLine(json().toString())
    }

    private fun row(figure: Figure): String = ROW.format(
        figure.name,
        figure.unit,
        number(figure.system),
        number(figure.global),
        number(figure.isolated),
        number(figure.ratio),
        target(figure),
    )

    private fun target(figure: Figure): String {
        val text =
            when (val target = figure.target) {
                null -> return ""
                is Target.RatioAtMost -> "ratio at most ${target.limit}"
                is Target.RatioAtLeast -> "ratio at least ${target.limit}"
                is Target.AtMost -> "at most ${target.limit}"
            }
        return "$text: ${verdict(figure)}"
    }

    private fun verdict(figure: Figure): String = when (figure.isMet) {
        true -> "met"
        false -> "missed"
        null -> if (figure.system == null) "missed, not reached or not observed" else "not comparable"
    }

    private fun answers(): List<Pair<String, Int>> = result.fleet.callers.results
        .map { (kind, count) -> (kind?.name ?: "complete") to count }
        .sortedBy { it.first }

    private fun number(value: Double?): String = if (value == null) "-" else "%.3f".format(Locale.ROOT, value)

    private fun json(): JsonObject = buildJsonObject {
        put("profile", result.profile.name)
        put("routers", result.profile.routers)
        put("shards", result.profile.shards)
        put("fault", result.fault?.label)
        put("seed", result.seed)
        put("requests", result.requests)
        putJsonArray("figures") { figures.forEach { figure -> addJsonObject { putFigure(figure) } } }
        put("answers", buildJsonObject { answers().forEach { (kind, count) -> put(kind, count) } })
        putJsonArray("broken") { violations.forEach { add(it) } }
    }

    private fun JsonObjectBuilder.putFigure(figure: Figure) {
        put("name", figure.name)
        put("unit", figure.unit)
        put("system", figure.system)
        put("global", figure.global)
        put("isolated", figure.isolated)
        put("ratio", figure.ratio)
        put("target", figure.target?.let { target(figure).substringBefore(':') })
        put("isMet", figure.isMet)
    }

    private companion object {
        const val ROW = "%-44s %-12s %12s %12s %12s %8s  %s"
    }
}
