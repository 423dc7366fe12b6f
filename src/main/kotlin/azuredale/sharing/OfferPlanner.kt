package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.protocol.RequestOffer
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand

/** Chooses which waiting requests are offered to which shard, and reports changes to the shards' allotters. */
internal class OfferPlanner(
    private val settings: SharingSettings,
    private val links: ShardLinks,
    private val outstanding: OutstandingOffers,
) {
    /** Offers waiting requests of [queue] up to the limit per shard and records the reports in [context]. */
    fun plan(queue: TeamQueue, context: RequesterContext) {
        val added = LinkedHashMap<ShardId, MutableList<QueuedRow>>()
        while (true) {
            val row = queue.next(context.now) { shardsWithCapacity(queue, it, context).isNotEmpty() } ?: break
            val shard = chooseShard(shardsWithCapacity(queue, row.request.requirement, context), row, context)
            queue.offer(row, shard, context.now)
            added.getOrPut(shard) { mutableListOf() } += row
        }
        offerMissingRequirements(queue, context, added)
        shardsOf(queue, context).forEach { report(queue, it, added[it].orEmpty(), context) }
    }

    /** Resends offers that have not been granted for the repair period, in case they or their grants were lost. */
    fun resendOffers(queue: TeamQueue, context: RequesterContext) {
        val before = context.now.plusMilliseconds(-settings.repairMilliseconds)
        shardsOf(queue, context).forEach { shard ->
            val old = queue.offeredTo(shard).filter { it.sentAt < before }
            old.forEach { it.sentAt = context.now }
            if (old.isNotEmpty()) report(queue, shard, old, context)
        }
    }

    /** Withdraws the offer of [row] from its current shard and offers it to [shard]. */
    fun move(queue: TeamQueue, row: QueuedRow, shard: ShardId, context: RequesterContext) {
        row.offeredTo?.let { context.withdraw(it, row.request.number) }
        queue.cancelOffer(row)
        queue.offer(row, shard, context.now)
        row.moves++
        report(queue, shard, listOf(row), context)
    }

    /** Replaces redundant offers so that each requirement has at least one, since its servers may be idle. */
    private fun offerMissingRequirements(
        queue: TeamQueue,
        context: RequesterContext,
        added: MutableMap<ShardId, MutableList<QueuedRow>>,
    ) {
        queue.oldestWithoutOffer(context.now).forEach { row ->
            val shard =
                registeredShards(row.request.requirement, context).firstOrNull { queue.redundantOffer(it) != null }
            val replaced = shard?.let(queue::redundantOffer)
            if (shard == null || replaced == null) return@forEach
            queue.cancelOffer(replaced)
            if (added[shard]?.remove(replaced) != true) context.withdraw(shard, replaced.request.number)
            queue.offer(row, shard, context.now)
            added.getOrPut(shard) { mutableListOf() } += row
        }
    }

    private fun report(queue: TeamQueue, shard: ShardId, added: List<QueuedRow>, context: RequesterContext) {
        val waiting = waiting(queue, shard, context)
        val hasUnoffered = waiting > settings.offersPerTeam
        val hadUnoffered = queue.reportedUnoffered[shard] ?: false
        if (added.isEmpty() && hasUnoffered == hadUnoffered) return
        if (hasUnoffered) queue.reportedUnoffered[shard] = true else queue.reportedUnoffered.remove(shard)
        context.demand(shard, TeamDemand(queue.team, waiting, added.map(::toOffer)))
    }

    /** Number of requests waiting for [shard]; unoffered ones count only once the offers have reached their limit. */
    private fun waiting(queue: TeamQueue, shard: ShardId, context: RequesterContext): Int {
        val offered = queue.offeredTo(shard).size
        if (offered < settings.offersPerTeam) return offered
        return offered + queue.unofferedCount { shard in context.shardMap.eligible(it) }
    }

    private fun shardsOf(queue: TeamQueue, context: RequesterContext): List<ShardId> =
        context.shardMap.shardsOf(queue.pool).filter { links.isRegistered(it) }

    private fun registeredShards(requirement: Requirement, context: RequesterContext): List<ShardId> =
        context.shardMap.eligible(requirement).filter { links.isRegistered(it) }

    private fun shardsWithCapacity(
        queue: TeamQueue,
        requirement: Requirement,
        context: RequesterContext,
    ): List<ShardId> =
        registeredShards(requirement, context).filter { queue.offeredTo(it).size < settings.offersPerTeam }

    /** The shard with the least wait, then the fewest offers of this router per slot; ties are broken by hash. */
    private fun chooseShard(shards: List<ShardId>, row: QueuedRow, context: RequesterContext): ShardId {
        val number = row.request.number.toString()
        val order =
            compareBy<ShardId> { outstanding.oldestAge(it, context.now) / AGE_STEP_MICROSECONDS }
                .thenBy { outstanding.offersTo(it).size.toDouble() / maxOf(1, context.shardMap.slotsOf(it)) }
                .thenBy { StableHash.of(number, it.shard.toString()) }
        return shards.minWith(order)
    }

    private fun toOffer(row: QueuedRow): RequestOffer = with(row.request) {
        RequestOffer(number, hint, prefix, requirement.modelVersion, requirement.adapter)
    }

    private companion object {
        /** Granularity in microseconds at which waits are compared, so that small differences do not matter. */
        const val AGE_STEP_MICROSECONDS = 50_000L
    }
}
