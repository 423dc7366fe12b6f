package azuredale.console

import kotlinx.serialization.Serializable

/** State of the fleet as one router sees it; shown by `azuredale show`. */
@Serializable
public data class FleetStatus(
    val router: String,
    val incarnation: Long,
    val revision: Long,
    val isReady: Boolean,
    val mayGiveOutWork: Boolean,
    val isDraining: Boolean,
    val members: List<MemberStatus>,
    val teams: List<TeamStatus>,
    val pools: List<PoolStatus>,
    val shards: List<ShardStatus>,
)

/** Membership state of a router. */
@Serializable
public data class MemberStatus(
    val router: String,
    val state: String,
    val failureDomain: String,
    val callerAddress: String,
    val revision: Long,
    val isDraining: Boolean,
)

/** A team's share and pools according to the document. */
@Serializable
public data class TeamStatus(
    val team: String,
    val share: Double,
    val pools: List<String>,
)

/** A pool of the document; `serversInService` counts those of its servers that may receive requests. */
@Serializable
public data class PoolStatus(
    val pool: String,
    val kind: String,
    val servers: Int,
    val serversInService: Int,
)

/** A shard for which this router is the allotter; `counters` holds, by name, the cost divided by the share. */
@Serializable
public data class ShardStatus(
    val pool: String,
    val shard: Int,
    val grants: Int,
    val waiting: Int,
    val counters: Map<String, Double>,
)
