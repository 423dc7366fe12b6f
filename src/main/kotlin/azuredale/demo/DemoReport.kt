package azuredale.demo

import azuredale.report.printTable

/** The summary that the demo prints at its end. */
internal class DemoReport(
    private val summary: DemoSummary,
    private val utilisation: Double,
    private val controlBytes: Long,
    private val loadSeconds: Long,
) {
    /** Prints the summary and returns whether no guarantee was violated. */
    fun print(output: Appendable): Boolean {
        printTeams(output)
        output.appendLine()
        output.appendLine(
            "fairness gap: %.0f tokens per share, %.2f times the least that is possible without preemption"
                .format(summary.gap, summary.gap / summary.minGap),
        )
        output.appendLine("utilisation of the engines' slots: %.3f".format(utilisation))
        output.appendLine(
            "control traffic between routers: $controlBytes bytes, " +
                "%.0f bytes a second for each router".format(controlBytes.toDouble() / loadSeconds / ROUTERS),
        )
        output.appendLine("outcomes:")
        summary.outcomes.forEach { (outcome, count) -> output.appendLine("  $outcome: $count") }
        val starved =
            summary.completed
                .filterValues { it == 0 }
                .keys
                .map { "team $it was never served" }
        val allViolations = summary.violations + starved
        allViolations.forEach { output.appendLine("broken promise: $it") }
        output.appendLine(if (allViolations.isEmpty()) "all promises kept" else "${allViolations.size} promises broken")
        return allViolations.isEmpty()
    }

    private fun printTeams(output: Appendable) {
        val total =
            summary.tokens.values
                .sum()
                .coerceAtLeast(1)
        val shares = DemoFleet.teamShares
        val rows =
            summary.tokens.map { (team, tokens) ->
                listOf(
                    team.name,
                    "%.0f".format(shares.getValue(team)),
                    summary.completed.getValue(team).toString(),
                    tokens.toString(),
                    "%.3f".format(tokens.toDouble() / total),
                    "%.3f".format(shares.getValue(team) / shares.values.sum()),
                )
            }
        printTable(output, listOf("team", "share", "completed", "tokens", "part", "entitled"), rows)
    }

    private companion object {
        const val ROUTERS = 3
    }
}
