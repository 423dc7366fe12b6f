package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand
import azuredale.protocol.WaitingHead

/** Chooses which waiting requests are offered to which shard, and reports changes to the shards' allotters. */
internal class OfferPlanner(
    private val settings: SharingSettings,
    private val links: ShardLinks,
    private val outstanding: OutstandingOffers,
) {
    /** Offers waiting requests of [queue] up to the limit per shard and records the reports in [turn]. */
    fun plan(queue: TeamQueue, turn: RequesterTurn) {
        val added = LinkedHashMap<ShardId, MutableList<QueuedRow>>()
        while (true) {
            val row = queue.next(turn.now) { shardsWithCapacity(queue, it, turn).isNotEmpty() } ?: break
            val shard = chooseShard(shardsWithCapacity(queue, row.request.requirement, turn), row, turn)
            queue.offer(row, shard, turn.now)
            added.getOrPut(shard) { mutableListOf() } += row
        }
        offerMissingRequirements(queue, turn, added)
        shardsOf(queue, turn).forEach { report(queue, it, added[it].orEmpty(), turn) }
    }

    /** Resends offers that have not been granted for the repair period, in case they or their grants were lost. */
    fun resendOffers(queue: TeamQueue, turn: RequesterTurn) {
        val before = turn.now.plusMilliseconds(-settings.repairMilliseconds)
        shardsOf(queue, turn).forEach { shard ->
            val old = queue.offeredTo(shard).filter { it.sentAt < before }
            old.forEach { it.sentAt = turn.now }
            if (old.isNotEmpty()) report(queue, shard, old, turn)
        }
    }

    /** Withdraws the offer of [row] from its current shard and offers it to [shard]. */
    fun move(queue: TeamQueue, row: QueuedRow, shard: ShardId, turn: RequesterTurn) {
        row.offeredTo?.let { turn.withdraw(it, row.request.number) }
        queue.cancelOffer(row)
        queue.offer(row, shard, turn.now)
        row.moves++
        report(queue, shard, listOf(row), turn)
    }

    /** Replaces redundant offers so that each requirement has at least one, since its servers may be idle. */
    private fun offerMissingRequirements(
        queue: TeamQueue,
        turn: RequesterTurn,
        added: MutableMap<ShardId, MutableList<QueuedRow>>,
    ) {
        queue.oldestWithoutOffer(turn.now).forEach { row ->
            val shard = registeredShards(row.request.requirement, turn).firstOrNull { queue.redundantOffer(it) != null }
            val replaced = shard?.let(queue::redundantOffer)
            if (shard == null || replaced == null) return@forEach
            queue.cancelOffer(replaced)
            if (added[shard]?.remove(replaced) != true) turn.withdraw(shard, replaced.request.number)
            queue.offer(row, shard, turn.now)
            added.getOrPut(shard) { mutableListOf() } += row
        }
    }

    private fun report(queue: TeamQueue, shard: ShardId, added: List<QueuedRow>, turn: RequesterTurn) {
        val waiting = waiting(queue, shard, turn)
        val hasUnoffered = waiting > settings.offersPerTeam
        val hadUnoffered = queue.reportedUnoffered[shard] ?: false
        if (added.isEmpty() && hasUnoffered == hadUnoffered) return
        if (hasUnoffered) queue.reportedUnoffered[shard] = true else queue.reportedUnoffered.remove(shard)
        turn.demand(shard, TeamDemand(queue.team, waiting, added.map(::head)))
    }

    /** Number of requests waiting for [shard]; unoffered ones count only once the offers have reached their limit. */
    private fun waiting(queue: TeamQueue, shard: ShardId, turn: RequesterTurn): Int {
        val offered = queue.offeredTo(shard).size
        if (offered < settings.offersPerTeam) return offered
        return offered + queue.unofferedCount { shard in turn.shardMap.eligible(it) }
    }

    private fun shardsOf(queue: TeamQueue, turn: RequesterTurn): List<ShardId> =
        turn.shardMap.shardsOf(queue.pool).filter { links.isRegistered(it) }

    private fun registeredShards(requirement: Requirement, turn: RequesterTurn): List<ShardId> =
        turn.shardMap.eligible(requirement).filter { links.isRegistered(it) }

    private fun shardsWithCapacity(queue: TeamQueue, requirement: Requirement, turn: RequesterTurn): List<ShardId> =
        registeredShards(requirement, turn).filter { queue.offeredTo(it).size < settings.offersPerTeam }

    /** The shard with the least wait, then the fewest offers of this router per slot; ties are broken by hash. */
    private fun chooseShard(shards: List<ShardId>, row: QueuedRow, turn: RequesterTurn): ShardId {
        val number = row.request.number.toString()
        val order =
            compareBy<ShardId> { outstanding.oldestAge(it, turn.now) / AGE_STEP_MICROSECONDS }
                .thenBy { outstanding.offersTo(it).size.toDouble() / maxOf(1, turn.shardMap.slotsOf(it)) }
                .thenBy { StableHash.of(number, it.shard.toString()) }
        return shards.minWith(order)
    }

    private fun head(row: QueuedRow): WaitingHead = with(row.request) {
        WaitingHead(number, hint, prefix, requirement.modelVersion, requirement.adapter)
    }

    private companion object {
        /** Granularity in microseconds at which waits are compared, so that small differences do not matter. */
        const val AGE_STEP_MICROSECONDS = 50_000L
    }
}
