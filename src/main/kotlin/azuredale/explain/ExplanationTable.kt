package azuredale.explain

import kotlin.math.roundToLong

/** Lines that show [explanation] to an operator; at most [limit] servers. */
internal fun explanationLines(explanation: RoutingExplanation): List<String> = buildList {
    val request = "route ${explanation.route ?: "-"}, pool ${explanation.pool ?: "-"}, team ${explanation.team ?: "-"}"
    add("router ${explanation.router}: $request")
    when (explanation.verdict) {
        RoutingVerdict.ADMITTED -> add("admitted, to server ${explanation.chosen}")
        RoutingVerdict.REFUSED -> {
            val retry = explanation.retryMilliseconds?.let { ", return in $it ms" }.orEmpty()
            add("refused: ${explanation.kind}$retry${explanation.detail.ifEmpty { null }?.let { " ($it)" }.orEmpty()}")
        }
    }
    val loads = explanation.loadAge?.let { "loads of other routers up to $it ms old" } ?: "no loads of other routers"
    add("configuration ${age(explanation.catalogAge)}, servers ${age(explanation.directoryAge)}, $loads")
}

private fun age(milliseconds: Long?) = milliseconds?.let { "confirmed $it ms ago" } ?: "never confirmed"

/** Header of the rows of [serverRow]. */
internal val serverHeader: List<String> =
    listOf(
        "server",
        "failure domain",
        "may get it",
        "running",
        "waiting",
        "free",
        "kept",
        "first event ms",
        "cost ms",
        "terms",
    )

/** One row of a table for [server]. */
internal fun serverRow(server: ServerExplanation, isChosen: Boolean): List<String> = listOf(
    (if (isChosen) "> " else "") + server.server,
    server.failureDomain,
    server.reason ?: "yes",
    server.running.toString(),
    server.waitingTokens.toString(),
    server.freeTokens?.toString() ?: "-",
    server.keptTokens.toString(),
    server.predictedMilliseconds.roundToLong().toString(),
    server.cost.roundToLong().toString(),
    server.costs.entries
        .filter { it.value.roundToLong() != 0L }
        .joinToString(" ") { "${it.key}=${it.value.roundToLong()}" },
)
