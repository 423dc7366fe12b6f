package azuredale.node

import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.PoolKind
import azuredale.configuration.RouterSettings
import azuredale.configuration.ServerState
import azuredale.console.BurnReportFormat
import azuredale.console.FleetStatus
import azuredale.console.MemberStatus
import azuredale.console.PoolStatus
import azuredale.console.ShardStatus
import azuredale.console.TeamStatus
import azuredale.identity.Incarnation
import azuredale.time.Timestamp

/** Describes the fleet, as known to [node], for the operator interface. */
internal fun describeFleet(
    node: RouterNode,
    settings: RouterSettings,
    incarnation: Incarnation,
    mayGiveOutWork: Boolean,
): FleetStatus {
    val accepted = node.documents.document()
    return FleetStatus(
        router = settings.router.name,
        incarnation = incarnation.value,
        revision = accepted?.revision?.value ?: 0,
        isReady = accepted != null && mayGiveOutWork,
        mayGiveOutWork = mayGiveOutWork,
        isDraining = node.isDraining,
        members =
            node.membership.allKnown().sortedBy { it.router.name }.map {
                MemberStatus(
                    router = it.router.name,
                    state = it.state.name.lowercase(),
                    failureDomain = it.failureDomain.name,
                    callerAddress = it.callerAddress.toString(),
                    revision = it.revision.value,
                    isDraining = it.isDraining,
                )
            },
        teams = accepted?.document?.let(::describeTeams).orEmpty(),
        pools = accepted?.document?.let(::describePools).orEmpty(),
        shards = describeShards(node),
    )
}

private fun describeTeams(document: Document): List<TeamStatus> =
    document.teams.values.map { TeamStatus(it.id.name, it.share, it.pools.map { pool -> pool.name }) }

private fun describePools(document: Document): List<PoolStatus> = document.pools.values.map { pool ->
    val servers = document.serversOf(pool.id)
    val inService = servers.count { it.state == ServerState.ACTIVE && it.batch !in document.recalls }
    PoolStatus(pool.id.name, pool.kind.name.lowercase(), servers.size, inService)
}

private fun describeShards(node: RouterNode): List<ShardStatus> = node.allotter.snapshot().shards.map { shard ->
    ShardStatus(
        pool = shard.shard.pool.name,
        shard = shard.shard.shard,
        grants = shard.grants.size,
        waiting = shard.teams.sumOf { it.waiting },
        counters = shard.teams.associate { it.team.name to it.counter },
    )
}

/** Renders the burn report of [node]: how fast teams use up their error budgets, by pool. */
internal fun renderBurnReport(node: RouterNode, format: BurnReportFormat, now: Timestamp): String {
    val report = node.burn.report(node.membership.members().map { it.router }, now)
    return when (format) {
        BurnReportFormat.TEXT -> report.toText()
        BurnReportFormat.JSON -> report.toJson().toString()
        BurnReportFormat.HTML -> report.toHtml()
    }
}

/** Engines of the shards that [node] allots; only the allotter needs their load, to limit the work it grants. */
internal fun allottedEngines(node: RouterNode): List<BackendServer> {
    val document = node.documents.document()?.document ?: return emptyList()
    return node.allotter
        .snapshot()
        .shards
        .filter { document.pools[it.shard.pool]?.kind == PoolKind.MODEL }
        .flatMap { shard -> shard.servers.mapNotNull { document.servers[it.server] } }
}
