package azuredale.sharing

import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.protocol.Demand
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.RegisterRequest
import azuredale.protocol.Settle
import azuredale.protocol.ShardId
import azuredale.protocol.Withdraw
import azuredale.time.Timestamp

/** State and decision logic of the requester; callers must hold the locks of its tables (see [locked]). */
internal class RequesterState(
    private val environment: SharingEnvironment,
    private val settings: SharingSettings,
    topology: Topology,
) {
    val queue = LocalQueue(settings)
    val grants = RunningGrants()
    val links = ShardLinks(environment.self, settings, topology)
    private val admission = Admission(settings)
    private val planner = OfferPlanner(settings, links, queue.outstanding)
    private val balancer = OfferBalancer(settings, links, queue, planner)
    private val estimators = PoolEstimators()
    private val reserve = LocalReserve(environment.self, settings)
    private var shardsInUse: Set<ShardId> = emptySet()
    private var nextRepairAt = Timestamp.DISTANT_PAST

    /** Runs [block] with all tables locked, in ascending lock rank. */
    inline fun <R> locked(crossinline block: () -> R): R =
        queue.table.locked { grants.table.locked { grants.served.locked { block() } } }

    /** Queues [request] and returns null, or returns the reason for refusing it. */
    fun enqueue(request: QueuedRequest, turn: RequesterTurn): Failure? {
        val failure = admission.rejection(request, turn)
        if (failure != null) return failure
        val row =
            queue.add(request)
                ?: return Failure(ErrorKind.QUEUE_FULL, request.team.name, queue.retryAt(request.team, turn.now))
        openLinks(request.requirement.pool, turn)
        planner.plan(queue.queueOf(row), turn)
        return null
    }

    fun withdraw(number: RequestNumber, turn: RequesterTurn) {
        val row = queue[number]
        if (row != null) dequeue(row, turn) else grants[number]?.let { settle(number, it.cost, false, turn) }
    }

    fun settle(number: RequestNumber, cost: Double, hasServerFailed: Boolean, turn: RequesterTurn) {
        val row = grants.settle(number, cost) ?: return
        if (!hasServerFailed) estimators.settled(row.request, cost, turn)
        if (row.isReserve) reserve.charge(row.shard, row.request.team, cost)
        val link = links[row.shard] ?: return
        // If the link is not registered, the served counter in the next registration includes the cost.
        if (link.isRegistered) link.target?.let { turn.send(it, Settle(row.shard, number, cost, hasServerFailed)) }
    }

    fun grantReceived(from: RouterId, message: Grant, turn: RequesterTurn) {
        val running = grants[message.request]
        if (running != null && running.shard == message.shard) {
            // The allotter lost its record of the first grant and granted again. The empty message makes it request a
            // registration, which corrects its state.
            if (running.server != message.server) turn.send(from, Demand(message.shard, emptyList()))
            return
        }
        val row = queue[message.request]
        val isCurrent = links[message.shard]?.target == from
        val isRunnable = row != null && isCurrent && admission.isRunnable(row.request, message.server, turn)
        if (isRunnable && start(row, message.shard, message.server, isReserve = false, turn)) return
        turn.send(from, Settle(message.shard, message.request, cost = 0.0))
        if (row != null && isCurrent) hold(row, turn)
    }

    /** Sends this router's full state when [from] is the allotter to use, otherwise an empty registration. */
    fun registrationRequested(from: RouterId, message: RegisterRequest, turn: RequesterTurn) {
        val shard = message.shard
        val link = links.open(shard, turn)
        if (shard !in turn.shardMap.shards || !links.accepts(link, from, turn)) {
            turn.send(from, Register(shard, environment.incarnation, emptyList(), emptyList(), emptyList()))
            return
        }
        links.registerWith(link, from, turn)
        if (reserve.end(shard)) turn.log(SharingLogEvent.RESERVE_ENDED, mapOf("shard" to shard))
        teamQueues(shard.pool).forEach { it.cancelOffers(shard) }
        teamQueues(shard.pool).forEach { planner.plan(it, turn) }
        val waiting = turn.demands.remove(shard).orEmpty()
        turn.send(
            from,
            Register(shard, environment.incarnation, grants.counters(shard), grants.running(shard), waiting),
        )
    }

    fun membersChanged(turn: RequesterTurn) {
        links.membersChanged(turn)
        cancelUnregisteredOffers(turn)
    }

    fun documentChanged(turn: RequesterTurn) {
        if (shardsInUse != turn.shardMap.shards) reshard(turn)
        grants.reshard(turn.shardMap)
        queue.retain(turn.document.teams.keys)
        estimators.retain(turn.document)
        queue.table.entries.values.toList().forEach { row ->
            admission.rejection(row.request, turn)?.let { failure -> refuse(row, failure, turn) }
        }
        queue.teamQueues.toList().forEach { planner.plan(it, turn) }
    }

    /** Cancels offers to allotters that lost this router's registration, and offers the requests elsewhere. */
    fun cancelUnregisteredOffers(turn: RequesterTurn) {
        links.all.filterNot { it.isRegistered }.forEach { link ->
            teamQueues(link.shard.pool).forEach { it.cancelOffers(link.shard) }
        }
        queue.teamQueues.toList().forEach { planner.plan(it, turn) }
    }

    fun tick(turn: RequesterTurn) {
        expire(turn)
        queue.releaseHeld(turn.now).forEach { planner.plan(it, turn) }
        balancer.balance(turn)
        links.all.forEach { link ->
            reportProgress(link, turn)
            useReserve(link, turn)
        }
        if (turn.now < nextRepairAt) return
        nextRepairAt = turn.now.plusSeconds(1)
        queue.teamQueues.forEach { planner.resendOffers(it, turn) }
    }

    /** Returns the collected effects; changes of demand become one message of each kind per shard. */
    fun finish(turn: RequesterTurn): List<NodeEffect> {
        links.promptAllotters(turn, ::isInUse)
        turn.withdrawals.forEach { (shard, numbers) -> sendToAllotter(shard, turn) { Withdraw(shard, numbers) } }
        turn.demands.forEach { (shard, teams) -> sendToAllotter(shard, turn) { Demand(shard, teams) } }
        return turn.effects
    }

    private fun start(
        row: QueuedRow,
        shard: ShardId,
        server: ServerId,
        isReserve: Boolean,
        turn: RequesterTurn,
    ): Boolean {
        val estimate = estimators.estimate(row.request, turn)
        if (!grants.start(RunningRow(row.request, shard, server, isReserve, estimate, turn.now))) return false
        val offeredTo = row.offeredTo
        val owner = queue.queueOf(row)
        queue.remove(row)
        queue.recordGrant(row.request.team, turn.now)
        if (offeredTo != null && offeredTo != shard) turn.withdraw(offeredTo, row.request.number)
        turn.effects += NodeEffect.SlotGranted(row.request.number, server)
        planner.plan(owner, turn)
        return true
    }

    /** Keeps a request whose grant could not be used queued and offers it again after [HOLD_MILLISECONDS]. */
    private fun hold(row: QueuedRow, turn: RequesterTurn) {
        val offeredTo = row.offeredTo
        queue.queueOf(row).cancelOffer(row)
        if (offeredTo != null) turn.withdraw(offeredTo, row.request.number)
        row.heldUntil = turn.now.plusMilliseconds(HOLD_MILLISECONDS)
        queue.addHeld(row)
    }

    private fun dequeue(row: QueuedRow, turn: RequesterTurn) {
        val offeredTo = row.offeredTo
        val owner = queue.queueOf(row)
        queue.remove(row)
        if (offeredTo != null) turn.withdraw(offeredTo, row.request.number)
        planner.plan(owner, turn)
    }

    private fun refuse(row: QueuedRow, failure: Failure, turn: RequesterTurn) {
        dequeue(row, turn)
        turn.effects += NodeEffect.SlotRefused(row.request.number, failure)
    }

    private fun expire(turn: RequesterTurn) {
        while (true) {
            val row = queue.nextExpired(turn.now) ?: return
            refuse(row, Failure(ErrorKind.DEADLINE_BEFORE_START, retryAt = turn.now), turn)
        }
    }

    private fun reportProgress(link: ShardLink, turn: RequesterTurn) {
        if (!link.isRegistered || turn.now < link.nextProgressAt) return
        link.nextProgressAt = turn.now.plusMilliseconds(settings.progressMilliseconds)
        val changed = grants.progress(link.shard, settings, turn.now)
        if (changed.isNotEmpty()) sendToAllotter(link.shard, turn) { Progress(link.shard, changed) }
    }

    private fun useReserve(link: ShardLink, turn: RequesterTurn) {
        val since = link.withoutAllotterSince ?: return
        val mayUse = turn.mayGiveOutWork && turn.now >= since.plusMilliseconds(settings.reserveDelayMilliseconds)
        while (mayUse) {
            val running = grants.ofShard(link.shard)
            val (row, server) = reserve.next(link.shard, queue.teamQueues, running, turn) ?: return
            if (!start(row, link.shard, server.id, isReserve = true, turn)) return
            if (reserve.begin(link.shard)) turn.log(SharingLogEvent.RESERVE_STARTED, mapOf("shard" to link.shard))
        }
    }

    private fun reshard(turn: RequesterTurn) {
        val changed =
            (shardsInUse + turn.shardMap.shards).groupBy { it.pool }.filter { (pool, _) ->
                shardsInUse.filter { it.pool == pool }.toSet() != turn.shardMap.shardsOf(pool).toSet()
            }
        changed.forEach { (pool, shards) ->
            shards.forEach { shard ->
                teamQueues(pool).forEach { it.cancelOffers(shard) }
                links[shard]?.unregister()
            }
            if (teamQueues(pool).isNotEmpty()) openLinks(pool, turn)
        }
        shardsInUse = turn.shardMap.shards.toSet()
        links.retain(turn.shardMap)
    }

    private fun openLinks(pool: PoolId, turn: RequesterTurn): Unit =
        turn.shardMap.shardsOf(pool).forEach { links.open(it, turn) }

    private fun isInUse(shard: ShardId): Boolean =
        teamQueues(shard.pool).any { !it.isEmpty } || grants.ofShard(shard).isNotEmpty()

    private fun teamQueues(pool: PoolId): List<TeamQueue> = queue.teamQueues.filter { it.pool == pool }

    private inline fun sendToAllotter(shard: ShardId, turn: RequesterTurn, message: () -> PeerMessage) {
        val link = links[shard] ?: return
        if (link.isRegistered) link.target?.let { turn.send(it, message()) }
    }

    private companion object {
        const val HOLD_MILLISECONDS = 100L
    }
}
