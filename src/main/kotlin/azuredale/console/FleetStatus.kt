package azuredale.console

import kotlinx.serialization.Serializable

/** What `azuredale show` prints: the fleet as seen by one router. */
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

/** A router of the fleet. */
@Serializable
public data class MemberStatus(
    val router: String,
    val state: String,
    val failureDomain: String,
    val callerAddress: String,
    val revision: Long,
    val isDraining: Boolean,
)

/** A team of the document. */
@Serializable
public data class TeamStatus(
    val team: String,
    val share: Double,
    val pools: List<String>,
)

/** A pool of the document with the number of its servers that may take work. */
@Serializable
public data class PoolStatus(
    val pool: String,
    val kind: String,
    val servers: Int,
    val serversInService: Int,
)

/** A shard that this router allots; counters are cost divided by share. */
@Serializable
public data class ShardStatus(
    val pool: String,
    val shard: Int,
    val grants: Int,
    val waiting: Int,
    val counters: Map<String, Double>,
)
