package azuredale.command

import azuredale.console.FleetStatus
import azuredale.report.printTable

/** Prints [status] as text tables. */
internal fun printStatus(status: FleetStatus, output: Appendable) {
    output.appendLine("router ${status.router} incarnation ${status.incarnation} revision ${status.revision}")
    output.appendLine(
        "ready ${status.isReady}, may give out work ${status.mayGiveOutWork}, draining ${status.isDraining}",
    )
    section(output, "members", listOf("router", "state", "failure domain", "callers", "revision")) {
        status.members.map {
            listOf(it.router, it.state, it.failureDomain, it.callerAddress, it.revision.toString())
        }
    }
    section(output, "pools", listOf("pool", "kind", "servers", "in service")) {
        status.pools.map { listOf(it.pool, it.kind, it.servers.toString(), it.serversInService.toString()) }
    }
    section(output, "teams", listOf("team", "share", "pools")) {
        status.teams.map { listOf(it.team, it.share.toString(), it.pools.joinToString(" ")) }
    }
    section(output, "shards allotted here", listOf("pool", "shard", "grants", "waiting")) {
        status.shards.map { listOf(it.pool, it.shard.toString(), it.grants.toString(), it.waiting.toString()) }
    }
}

private fun section(output: Appendable, title: String, header: List<String>, rows: () -> List<List<String>>) {
    output.appendLine().appendLine("$title:")
    printTable(output, header, rows())
}
