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

/**
 * A subset of a pool's backend servers. One router, the allotter of the shard, assigns the slots of these servers.
 *
 * @property shard number of the shard within its pool, counted from zero.
 */
@Serializable
public data class ShardId(
    @CborLabel(1) @Contextual val pool: PoolId,
    @CborLabel(2) val shard: Int = 0,
)

/**
 * An offer: a queued request for which the sending router asks the allotter for a grant.
 *
 * @property request number assigned by the sending router, different for each attempt.
 * @property hint cost that the caller expects, in the pool's cost unit.
 * @property prefix fingerprint of the prompt prefix.
 */
@Serializable
public data class RequestOffer(
    @CborLabel(1) val request: RequestNumber,
    @CborLabel(2) val hint: Double? = null,
    @CborLabel(3) val prefix: Long? = null,
    @CborLabel(4) @Contextual val modelVersion: ModelVersion? = null,
    @CborLabel(5) @Contextual val adapter: AdapterName? = null,
)

/**
 * Demand of one team at the sending router.
 *
 * @property waiting number of the team's requests that wait for a slot of the shard.
 * @property offers offers that the allotter may not know yet.
 */
@Serializable
public data class TeamDemand(
    @CborLabel(1) @Contextual val team: TeamId,
    @CborLabel(2) val waiting: Int,
    @CborLabel(3) val offers: List<RequestOffer> = emptyList(),
)

/** Total service that the sending incarnation has delivered to a team, in the pool's cost unit. Never decreases. */
@Serializable
public data class ServedCounter(
    @CborLabel(1) @Contextual val team: TeamId,
    @CborLabel(2) val served: Double,
)

/** A grant in use at the sending router and the cost charged so far. */
@Serializable
public data class RunningGrant(
    @CborLabel(1) val request: RequestNumber,
    @CborLabel(2) @Contextual val team: TeamId,
    @CborLabel(3) @Contextual val server: ServerId,
    @CborLabel(4) val charged: Double,
)

/**
 * Complete state of the sending router, which replaces everything that the allotter knows about it. It is empty if the
 * router uses another allotter.
 */
@Serializable
public data class Register(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val counters: List<ServedCounter>,
    @CborLabel(4) val running: List<RunningGrant>,
    @CborLabel(5) val waiting: List<TeamDemand>,
) : PeerMessage

/** Requests a [Register] message for [shard] from a router. */
@Serializable
public data class RegisterRequest(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val allotter: Incarnation,
) : PeerMessage

/** Changed demand at the sending router. A message without teams asks the allotter for a [RegisterRequest]. */
@Serializable
public data class Demand(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val teams: List<TeamDemand>,
) : PeerMessage

/** Withdraws offers, because the requests are no longer queued or no longer offered to this shard. */
@Serializable
public data class Withdraw(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val requests: List<RequestNumber>,
) : PeerMessage

/** Allows the router to send [request] to [server]. The slot is in use until [Settle]. */
@Serializable
public data class Grant(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val request: RequestNumber,
    @CborLabel(3) @Contextual val server: ServerId,
) : PeerMessage

/** Cost charged so far for a running grant, in the pool's cost unit. */
@Serializable
public data class GrantProgress(
    @CborLabel(1) val request: RequestNumber,
    @CborLabel(2) val charged: Double,
)

/** Costs of running grants that have changed since the last report. */
@Serializable
public data class Progress(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val grants: List<GrantProgress>,
) : PeerMessage

/** Ends a grant and releases its slot. A grant that could not be used is returned at cost zero. */
@Serializable
public data class Settle(
    @CborLabel(1) val shard: ShardId,
    @CborLabel(2) val request: RequestNumber,
    @CborLabel(3) val cost: Double,
    @CborLabel(4) val hasServerFailed: Boolean = false,
) : PeerMessage
