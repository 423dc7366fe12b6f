package azuredale.sharing

import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.ShardId

/** State of a router's allotter at one moment, for the operator interface. */
public data class AllotterSnapshot(val shards: List<ShardSnapshot>)

/**
 * State of one allotted shard.
 *
 * @property isPrimary whether the router is the first in rendezvous order; a secondary allotter serves routers that
 * cannot reach the primary.
 * @property isCollecting whether grants are suspended until routers have registered.
 * @property offers number of waiting requests known to the allotter.
 * @property droppedOffers offers dropped because a bound was exceeded, since the allotment started.
 */
public data class ShardSnapshot(
    val shard: ShardId,
    val isPrimary: Boolean,
    val isCollecting: Boolean,
    val offers: Int,
    val droppedOffers: Long,
    val teams: List<TeamSnapshot>,
    val grants: List<GrantSnapshot>,
    val servers: List<ServerSnapshot>,
)

/** A team's virtual-time [counter] (cost divided by share) and its numbers of waiting and running requests. */
public data class TeamSnapshot(
    val team: TeamId,
    val counter: Double,
    val waiting: Int,
    val running: Int,
)

/** An occupied slot with the cost [charged] so far, in the pool's cost unit. */
public data class GrantSnapshot(
    val router: RouterId,
    val request: RequestNumber,
    val team: TeamId,
    val server: ServerId,
    val charged: Double,
)

/** A backend server with its current limit on requests in flight. */
public data class ServerSnapshot(
    val server: ServerId,
    val limit: Int,
    val inFlight: Int,
    val isEjected: Boolean,
)

internal fun ShardAllotment.snapshot(): ShardSnapshot = ShardSnapshot(
    shard = shard,
    isPrimary = term.isPrimary,
    isCollecting = term.isCollecting,
    offers = demand.size,
    droppedOffers = demand.droppedOffers,
    teams = order.teams.map { TeamSnapshot(it.team, it.counter, it.waiting, it.running) },
    grants = grants.rows.map { GrantSnapshot(it.key.router, it.key.request, it.team, it.server, it.charged) }.toList(),
    servers = servers.rows.map { ServerSnapshot(it.id, it.limit.limit, it.inFlight, it.health.isEjected) },
)
