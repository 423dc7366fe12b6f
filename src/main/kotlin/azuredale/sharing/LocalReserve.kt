package azuredale.sharing

import azuredale.configuration.BackendServer
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.protocol.ShardId

/**
 * A bounded fraction of a shard's slots that a router may use on its own while no allotter is reachable.
 *
 * All routers together use at most [SharingSettings.reserveFraction] of the slots. A short outage of the allotter thus
 * neither leaves all capacity idle nor overloads the servers.
 */
internal class LocalReserve(
    private val self: RouterId,
    private val settings: SharingSettings,
) {
    private val served = HashMap<ShardId, HashMap<TeamId, Double>>()

    /** Slots of [shard] that this router may use; a fractional slot goes to that fraction of the routers, by hash. */
    fun allowance(shard: ShardId, context: RequesterContext): Int {
        val exact = context.shardMap.slotsOf(shard) * settings.reserveFraction / maxOf(1, context.members.size)
        val whole = exact.toInt()
        val hasExtra =
            StableHash.fraction(shard.pool.name, shard.shard.toString(), self.name, HASH_SALT) < exact - whole
        return if (hasExtra) whole + 1 else whole
    }

    /** The next request of [queues] to run from the reserve, with its server; null when none may run. */
    fun next(
        shard: ShardId,
        queues: Collection<TeamQueue>,
        running: List<RunningRow>,
        context: RequesterContext,
    ): Pair<QueuedRow, BackendServer>? {
        if (running.count { it.isReserve } >= allowance(shard, context)) return null
        val inUse = running.groupingBy { it.server }.eachCount()
        val free =
            context.shardMap
                .serversOf(shard)
                .filter { (inUse[it.id] ?: 0) < it.slots }
                .sortedWith(compareBy({ inUse[it.id] ?: 0 }, { StableHash.of(self.name, it.id.name) }))
        return queues
            .filter { it.pool == shard.pool }
            .sortedWith(compareBy({ normalizedService(shard, it.team, context) }, { it.team.name }))
            .firstNotNullOfOrNull { queue -> firstRunnable(queue, free, context) }
    }

    /** Charges [cost] to [team] in the reserve's fair order. */
    fun charge(shard: ShardId, team: TeamId, cost: Double) {
        served[shard]?.merge(team, cost, Double::plus)
    }

    /** Starts using the reserve of [shard]; returns false when it is already in use. */
    fun begin(shard: ShardId): Boolean = served.put(shard, served[shard] ?: HashMap()) == null

    /** Stops using the reserve and returns whether it was in use; its costs reach the allotter as served counters. */
    fun end(shard: ShardId): Boolean = served.remove(shard) != null

    private fun firstRunnable(
        queue: TeamQueue,
        free: List<BackendServer>,
        context: RequesterContext,
    ): Pair<QueuedRow, BackendServer>? = queue.rows.sortedBy { it.arrival }.firstNotNullOfOrNull { row ->
        free.firstOrNull { context.document.allows(it.id, row.request.requirement) }?.let { row to it }
    }

    private fun normalizedService(shard: ShardId, team: TeamId, context: RequesterContext): Double =
        (served[shard]?.get(team) ?: 0.0) / (context.document.teams[team]?.share ?: 1.0)

    private companion object {
        const val HASH_SALT = "reserve"
    }
}
