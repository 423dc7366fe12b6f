@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Incarnation
import azuredale.identity.PoolId
import azuredale.identity.TeamId
import kotlinx.serialization.Contextual
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Counts of a team's requests in a pool that ended during [minute], including those that missed the objective. */
@Serializable
public data class BurnCount(
    @CborLabel(1) @Contextual val team: TeamId,
    @CborLabel(2) @Contextual val pool: PoolId,
    @CborLabel(3) val minute: Long,
    @CborLabel(4) val ended: Long,
    @CborLabel(5) val missed: Long,
    @CborLabel(6) val failed: Long,
)

/** Burn counts of the sending incarnation. Each replaces the previous count of the same team, pool and minute. */
@Serializable
public data class BurnCounts(
    @CborLabel(1) val incarnation: Incarnation,
    @CborLabel(2) val counts: List<BurnCount>,
) : PeerMessage
