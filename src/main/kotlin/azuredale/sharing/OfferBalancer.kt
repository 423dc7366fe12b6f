package azuredale.sharing

import azuredale.identity.PoolId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/**
 * Moves waiting offers from one shard of a pool to another shard that has no outstanding offers of this router.
 *
 * Each move of a request quadruples the delay before its next move, because a shard without offers of this router may
 * still be busy with offers of other routers.
 */
internal class OfferBalancer(
    private val settings: SharingSettings,
    private val links: ShardLinks,
    private val queue: LocalQueue,
    private val planner: OfferPlanner,
) {
    fun balance(context: RequesterContext): Unit =
        links.all.filter { it.isRegistered }.groupBy({ it.shard.pool }, { it.shard }).forEach { (pool, shards) ->
            if (shards.size > 1) balance(pool, shards, context)
        }

    private fun balance(pool: PoolId, shards: List<ShardId>, context: RequesterContext) {
        val (idleShards, busyShards) = shards.partition { queue.outstanding.offersTo(it).isEmpty() }
        if (idleShards.isEmpty()) return
        val capacity = idleShards.associateWith { settings.offersPerTeam }.toMutableMap()
        val movable =
            busyShards
                .flatMap { queue.outstanding.offersTo(it) }
                .filter { isDue(it, context.now) }
                .sortedBy { it.offeredAt }
        val changedQueues = LinkedHashSet<TeamQueue>()
        movable.forEach { row ->
            val target =
                context.shardMap
                    .eligible(row.request.requirement)
                    .filter { (capacity[it] ?: 0) > 0 }
                    .maxByOrNull { capacity.getValue(it) }
            if (target != null) {
                capacity[target] = capacity.getValue(target) - 1
                val owner = queue.queueOf(row)
                planner.move(owner, row, target, context)
                changedQueues += owner
            }
        }
        if (changedQueues.isNotEmpty()) {
            queue.teamQueues.filter { it.pool == pool }.forEach { planner.plan(it, context) }
        }
    }

    private fun isDue(row: QueuedRow, now: Timestamp): Boolean {
        val delayMilliseconds = settings.offerMoveMilliseconds shl (2 * minOf(row.moves, MAXIMUM_BACKOFF_STEPS))
        return now >= row.offeredAt.plusMilliseconds(delayMilliseconds)
    }

    private companion object {
        const val MAXIMUM_BACKOFF_STEPS = 6
    }
}
