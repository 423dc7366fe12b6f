@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.AdapterName
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import kotlinx.serialization.Contextual
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** One independently allotted part of a pool; shards are numbered from zero. */
@Serializable
public data class ShardId(
    @CborLabel(1) @Contextual val pool: PoolId,
    @CborLabel(2) val shard: Int = 0,
)

/**
 * A waiting request that the allotter may grant.
 *
 * @property request number at the sending router; every attempt waits under a number of its own.
 * @property hint cost expected by the caller in the pool's cost unit, or null.
 * @property prefix fingerprint of the prompt prefix, or null.
 */
@Serializable
public data class WaitingHead(
    @CborLabel(1) val request: RequestNumber,
    @CborLabel(2) val hint: Double? = null,
    @CborLabel(3) val prefix: Long? = null,
    @CborLabel(4) @Contextual val modelVersion: ModelVersion? = null,
    @CborLabel(5) @Contextual val adapter: AdapterName? = null,
)

/** What one team has waiting at the sending router: the total and the heads that the allotter does not know yet. */
@Serializable
public data class TeamDemand(
    @CborLabel(1) @Contextual val team: TeamId,
    @CborLabel(2) val waiting: Int,
    @CborLabel(3) val heads: List<WaitingHead> = emptyList(),
)

/** Service that the sending incarnation delivered to a team, in the pool's cost unit; only grows. */
@Serializable
public data class ServedCounter(
    @CborLabel(1) @Contextual val team: TeamId,
    @CborLabel(2) val served: Double,
)

/** A grant in use at the sending router, with the cost charged so far. */
@Serializable
public data class RunningGrant(
    @CborLabel(1) val request: RequestNumber,
    @CborLabel(2) @Contextual val team: TeamId,
    @CborLabel(3) @Contextual val server: ServerId,
    @CborLabel(4) val charged: Double,
)

/** Replaces all that the allotter knows of the sending router. */
@Serializable
public data class Register(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val counters: List<ServedCounter>,
    @CborLabel(4) val running: List<RunningGrant>,
    @CborLabel(5) val waiting: List<TeamDemand>,
) : PeerMessage

/** Asks a router to send [Register] for [shard]. */
@Serializable
public data class RegisterRequest(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val allotter: Incarnation,
) : PeerMessage

/** Teams whose waiting work changed at the sending router. */
@Serializable
public data class Demand(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val teams: List<TeamDemand>,
) : PeerMessage

/** Requests that no longer wait. */
@Serializable
public data class Withdraw(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val requests: List<RequestNumber>,
) : PeerMessage

/** Allows the router to send [request] to [server]; the slot is held until [Settle]. */
@Serializable
public data class Grant(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val request: RequestNumber,
    @CborLabel(3) @Contextual val server: ServerId,
) : PeerMessage

/** Cost charged so far for one running grant, in the pool's cost unit. */
@Serializable
public data class GrantProgress(
    @CborLabel(1) val request: RequestNumber,
    @CborLabel(2) val charged: Double,
)

/** Costs of running grants that changed since the last report. */
@Serializable
public data class Progress(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val grants: List<GrantProgress>,
) : PeerMessage

/** Ends a grant and frees its slot. */
@Serializable
public data class Settle(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val request: RequestNumber,
    @CborLabel(3) val cost: Double,
    @CborLabel(4) val hasServerFailed: Boolean = false,
) : PeerMessage
