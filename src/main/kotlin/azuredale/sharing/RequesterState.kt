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
    fun enqueue(request: QueuedRequest, context: RequesterContext): Failure? {
        val failure = admission.rejection(request, context)
        if (failure != null) return failure
        val row =
            queue.add(request)
                ?: return Failure(ErrorKind.QUEUE_FULL, request.team.name, queue.retryAt(request.team, context.now))
        openLinks(request.requirement.pool, context)
        planner.plan(queue.queueOf(row), context)
        return null
    }

    fun withdraw(number: RequestNumber, context: RequesterContext) {
        val row = queue[number]
        if (row != null) dequeue(row, context) else grants[number]?.let { settle(number, it.cost, false, context) }
    }

    fun settle(number: RequestNumber, cost: Double, hasServerFailed: Boolean, context: RequesterContext) {
        val row = grants.settle(number, cost) ?: return
        if (!hasServerFailed) estimators.settled(row.request, cost, context)
        if (row.isReserve) reserve.charge(row.shard, row.request.team, cost)
        val link = links[row.shard] ?: return
        // If the link is not registered, the served counter in the next registration includes the cost.
        if (link.isRegistered) link.target?.let { context.send(it, Settle(row.shard, number, cost, hasServerFailed)) }
    }

    fun grantReceived(from: RouterId, message: Grant, context: RequesterContext) {
        val running = grants[message.request]
        if (running != null && running.shard == message.shard) {
            // The allotter lost its record of the first grant and granted again. The empty message makes it request a
            // registration, which corrects its state.
            if (running.server != message.server) context.send(from, Demand(message.shard, emptyList()))
            return
        }
        val row = queue[message.request]
        val isCurrent = links[message.shard]?.target == from
        val isRunnable = row != null && isCurrent && admission.isRunnable(row.request, message.server, context)
        if (isRunnable && start(row, message.shard, message.server, isReserve = false, context)) return
        context.send(from, Settle(message.shard, message.request, cost = 0.0))
        if (row != null && isCurrent) hold(row, context)
    }

    /** Sends this router's full state when [from] is the allotter to use, otherwise an empty registration. */
    fun registrationRequested(from: RouterId, message: RegisterRequest, context: RequesterContext) {
        val shard = message.shard
        val link = links.open(shard, context)
        if (shard !in context.shardMap.shards || !links.accepts(link, from, context)) {
            context.send(from, Register(shard, environment.incarnation, emptyList(), emptyList(), emptyList()))
            return
        }
        links.registerWith(link, from, context)
        if (reserve.end(shard)) context.log(SharingLogEvent.RESERVE_ENDED, mapOf("shard" to shard))
        teamQueues(shard.pool).forEach { it.cancelOffers(shard) }
        teamQueues(shard.pool).forEach { planner.plan(it, context) }
        val waiting = context.demands.remove(shard).orEmpty()
        context.send(
            from,
            Register(shard, environment.incarnation, grants.counters(shard), grants.running(shard), waiting),
        )
    }

    fun membersChanged(context: RequesterContext) {
        links.membersChanged(context)
        cancelUnregisteredOffers(context)
    }

    fun documentChanged(context: RequesterContext) {
        if (shardsInUse != context.shardMap.shards) reshard(context)
        grants.reshard(context.shardMap)
        queue.retain(context.document.teams.keys)
        estimators.retain(context.document)
        queue.table.entries.values.toList().forEach { row ->
            admission.rejection(row.request, context)?.let { failure -> refuse(row, failure, context) }
        }
        queue.teamQueues.toList().forEach { planner.plan(it, context) }
    }

    /** Cancels offers to allotters that lost this router's registration, and offers the requests elsewhere. */
    fun cancelUnregisteredOffers(context: RequesterContext) {
        links.all.filterNot { it.isRegistered }.forEach { link ->
            teamQueues(link.shard.pool).forEach { it.cancelOffers(link.shard) }
        }
        queue.teamQueues.toList().forEach { planner.plan(it, context) }
    }

    fun tick(context: RequesterContext) {
        expire(context)
        queue.releaseHeld(context.now).forEach { planner.plan(it, context) }
        balancer.balance(context)
        links.all.forEach { link ->
            reportProgress(link, context)
            useReserve(link, context)
        }
        if (context.now < nextRepairAt) return
        nextRepairAt = context.now.plusSeconds(1)
        queue.teamQueues.forEach { planner.resendOffers(it, context) }
    }

    /** Returns the collected effects; changes of demand become one message of each kind per shard. */
    fun finish(context: RequesterContext): List<NodeEffect> {
        links.promptAllotters(context, ::isInUse)
        context.withdrawals.forEach { (shard, numbers) -> sendToAllotter(shard, context) { Withdraw(shard, numbers) } }
        context.demands.forEach { (shard, teams) -> sendToAllotter(shard, context) { Demand(shard, teams) } }
        return context.effects
    }

    private fun start(
        row: QueuedRow,
        shard: ShardId,
        server: ServerId,
        isReserve: Boolean,
        context: RequesterContext,
    ): Boolean {
        val estimate = estimators.estimate(row.request, context)
        if (!grants.start(RunningRow(row.request, shard, server, isReserve, estimate, context.now))) return false
        val offeredTo = row.offeredTo
        val owner = queue.queueOf(row)
        queue.remove(row)
        queue.recordGrant(row.request.team, context.now)
        if (offeredTo != null && offeredTo != shard) context.withdraw(offeredTo, row.request.number)
        context.effects += NodeEffect.SlotGranted(row.request.number, server)
        planner.plan(owner, context)
        return true
    }

    /** Keeps a request whose grant could not be used queued and offers it again after [HOLD_MILLISECONDS]. */
    private fun hold(row: QueuedRow, context: RequesterContext) {
        val offeredTo = row.offeredTo
        queue.queueOf(row).cancelOffer(row)
        if (offeredTo != null) context.withdraw(offeredTo, row.request.number)
        row.heldUntil = context.now.plusMilliseconds(HOLD_MILLISECONDS)
        queue.addHeld(row)
    }

    private fun dequeue(row: QueuedRow, context: RequesterContext) {
        val offeredTo = row.offeredTo
        val owner = queue.queueOf(row)
        queue.remove(row)
        if (offeredTo != null) context.withdraw(offeredTo, row.request.number)
        planner.plan(owner, context)
    }

    private fun refuse(row: QueuedRow, failure: Failure, context: RequesterContext) {
        dequeue(row, context)
        context.effects += NodeEffect.SlotRefused(row.request.number, failure)
    }

    private fun expire(context: RequesterContext) {
        while (true) {
            val row = queue.nextExpired(context.now) ?: return
            refuse(row, Failure(ErrorKind.DEADLINE_BEFORE_START, retryAt = context.now), context)
        }
    }

    private fun reportProgress(link: ShardLink, context: RequesterContext) {
        if (!link.isRegistered || context.now < link.nextProgressAt) return
        link.nextProgressAt = context.now.plusMilliseconds(settings.progressMilliseconds)
        val changed = grants.progress(link.shard, settings, context.now)
        if (changed.isNotEmpty()) sendToAllotter(link.shard, context) { Progress(link.shard, changed) }
    }

    private fun useReserve(link: ShardLink, context: RequesterContext) {
        val since = link.withoutAllotterSince ?: return
        val mayUse = context.mayGiveOutWork && context.now >= since.plusMilliseconds(settings.reserveDelayMilliseconds)
        while (mayUse) {
            val running = grants.ofShard(link.shard)
            val (row, server) = reserve.next(link.shard, queue.teamQueues, running, context) ?: return
            if (!start(row, link.shard, server.id, isReserve = true, context)) return
            if (reserve.begin(link.shard)) context.log(SharingLogEvent.RESERVE_STARTED, mapOf("shard" to link.shard))
        }
    }

    private fun reshard(context: RequesterContext) {
        val changed =
            (shardsInUse + context.shardMap.shards).groupBy { it.pool }.filter { (pool, _) ->
                shardsInUse.filter { it.pool == pool }.toSet() != context.shardMap.shardsOf(pool).toSet()
            }
        changed.forEach { (pool, shards) ->
            shards.forEach { shard ->
                teamQueues(pool).forEach { it.cancelOffers(shard) }
                links[shard]?.unregister()
            }
            if (teamQueues(pool).isNotEmpty()) openLinks(pool, context)
        }
        shardsInUse = context.shardMap.shards.toSet()
        links.retain(context.shardMap)
    }

    private fun openLinks(pool: PoolId, context: RequesterContext): Unit =
        context.shardMap.shardsOf(pool).forEach { links.open(it, context) }

    private fun isInUse(shard: ShardId): Boolean =
        teamQueues(shard.pool).any { !it.isEmpty } || grants.ofShard(shard).isNotEmpty()

    private fun teamQueues(pool: PoolId): List<TeamQueue> = queue.teamQueues.filter { it.pool == pool }

    private inline fun sendToAllotter(shard: ShardId, context: RequesterContext, message: () -> PeerMessage) {
        val link = links[shard] ?: return
        if (link.isRegistered) link.target?.let { context.send(it, message()) }
    }

    private companion object {
        const val HOLD_MILLISECONDS = 100L
    }
}
