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
            val row = queue.next(turn.now) { openShards(queue, it, turn).isNotEmpty() } ?: break
            val shard = choose(openShards(queue, row.request.requirement, turn), row, turn)
            queue.offer(row, shard, turn.now)
            added.getOrPut(shard) { mutableListOf() } += row
        }
        uncover(queue, turn, added)
        shardsOf(queue, turn).forEach { report(queue, it, added[it].orEmpty(), turn) }
    }

    /** Resends offers that have not been granted for the repair period, in case they or their grants were lost. */
    fun repeatOld(queue: TeamQueue, turn: RequesterTurn) {
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
        queue.takeBack(row)
        queue.offer(row, shard, turn.now)
        row.moves++
        report(queue, shard, listOf(row), turn)
    }

    /** Replaces redundant offers so that each requirement has at least one, since its servers may be idle. */
    private fun uncover(queue: TeamQueue, turn: RequesterTurn, added: MutableMap<ShardId, MutableList<QueuedRow>>) {
        queue.hidden(turn.now).forEach { hidden ->
            val shard = registeredShards(hidden.request.requirement, turn).firstOrNull { queue.replaceable(it) != null }
            val replaced = shard?.let(queue::replaceable)
            if (shard == null || replaced == null) return@forEach
            queue.takeBack(replaced)
            if (added[shard]?.remove(replaced) != true) turn.withdraw(shard, replaced.request.number)
            queue.offer(hidden, shard, turn.now)
            added.getOrPut(shard) { mutableListOf() } += hidden
        }
    }

    private fun report(queue: TeamQueue, shard: ShardId, added: List<QueuedRow>, turn: RequesterTurn) {
        val waiting = waiting(queue, shard, turn)
        val isBeyond = waiting > settings.headsPerTeam
        val wasBeyond = queue.reportedBeyond[shard] ?: false
        if (added.isEmpty() && isBeyond == wasBeyond) return
        if (isBeyond) queue.reportedBeyond[shard] = true else queue.reportedBeyond.remove(shard)
        turn.demand(shard, TeamDemand(queue.team, waiting, added.map(::head)))
    }

    /** Number of requests waiting for [shard]; unoffered ones count only once the offers have reached their limit. */
    private fun waiting(queue: TeamQueue, shard: ShardId, turn: RequesterTurn): Int {
        val offered = queue.offeredTo(shard).size
        if (offered < settings.headsPerTeam) return offered
        return offered + queue.unofferedCount { shard in turn.shardMap.eligible(it) }
    }

    private fun shardsOf(queue: TeamQueue, turn: RequesterTurn): List<ShardId> =
        turn.shardMap.shardsOf(queue.pool).filter { links.isRegistered(it) }

    private fun registeredShards(requirement: Requirement, turn: RequesterTurn): List<ShardId> =
        turn.shardMap.eligible(requirement).filter { links.isRegistered(it) }

    private fun openShards(queue: TeamQueue, requirement: Requirement, turn: RequesterTurn): List<ShardId> =
        registeredShards(requirement, turn).filter { queue.offeredTo(it).size < settings.headsPerTeam }

    /** The shard with the least wait, then the fewest offers of this router per slot; ties are broken by hash. */
    private fun choose(shards: List<ShardId>, row: QueuedRow, turn: RequesterTurn): ShardId {
        val number = row.request.number.toString()
        val order =
            compareBy<ShardId> { outstanding.age(it, turn.now) / AGE_STEP }
                .thenBy { outstanding.of(it).size.toDouble() / maxOf(1, turn.shardMap.slotsOf(it)) }
                .thenBy { StableHash.of(number, it.shard.toString()) }
        return shards.minWith(order)
    }

    private fun head(row: QueuedRow): WaitingHead = with(row.request) {
        WaitingHead(number, hint, prefix, requirement.modelVersion, requirement.adapter)
    }

    private companion object {
        /** Granularity in microseconds at which waits are compared, so that small differences do not matter. */
        const val AGE_STEP = 50_000L
    }
}
