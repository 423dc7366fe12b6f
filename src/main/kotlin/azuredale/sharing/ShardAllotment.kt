package azuredale.sharing

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.Demand
import azuredale.protocol.Grant
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.RegisterRequest
import azuredale.protocol.Settle
import azuredale.protocol.ShardId
import azuredale.protocol.Withdraw
import azuredale.time.Timestamp

/** Allots the slots of one shard. All state is soft state that can be rebuilt from registrations. */
internal class ShardAllotment(
    val shard: ShardId,
    private val self: RouterId,
    private val incarnation: Incarnation,
    private val settings: SharingSettings,
    private val tables: AllotterTables,
    prefixes: PrefixIndex,
) {
    val order = FairOrder()
    val servers = ServerPool(shard, settings, tables)
    val grants = ShardGrants(tables, order)
    val demand = ShardDemand(shard, settings, tables, order)
    val term = AllotterTerm(settings)
    private val estimator = CostEstimator()
    private val routers = HashMap<RouterId, RouterRow>()
    private var nextRepairAt = Timestamp.DISTANT_PAST
    private val registration = RouterRegistration(shard, settings, order, grants, demand, estimator)
    private val dispatcher = GrantDispatcher(shard, order, servers, grants, demand, estimator, prefixes)

    /** Requests registration from every member; grants start once all have registered or a deadline has passed. */
    fun startPrimary(context: AllotterContext) {
        if (!term.isPrimary) {
            context.log(SharingLogEvent.ALLOTMENT_STARTED, mapOf("shard" to shard, "role" to "primary"))
        }
        term.startPrimary(context.now)
        order.raisesNewlyBacklogged = false
        documentChanged(context)
        routers.values.forEach { it.isRegistered = false }
        context.members.keys.forEach { requestRegistration(row(it), context) }
    }

    /** Starts to serve routers that cannot reach the primary allotter. */
    fun startSecondary(context: AllotterContext) {
        context.log(SharingLogEvent.ALLOTMENT_STARTED, mapOf("shard" to shard, "role" to "secondary"))
        term.startSecondary(context.now)
        order.raisesNewlyBacklogged = false
        documentChanged(context)
    }

    fun register(from: RouterId, message: Register, context: AllotterContext) {
        val router = row(from)
        // An unsolicited registration is ignored: grants in transit would be missing from it and be treated as lost.
        if (router.isRegistered) return
        term.extend(context.now)
        registration.apply(router, message, context, isCollecting = term.isCollecting)
        finishCollecting(context)
        dispatch(context)
    }

    /** Handles reported demand; a message without teams asks the allotter to send a registration request. */
    fun demand(from: RouterId, message: Demand, context: AllotterContext) {
        val router = row(from)
        if (message.teams.isEmpty()) router.isRegistered = false
        if (!requireRegistered(router, context)) return
        message.teams.forEach { report ->
            registration.allowedTeam(report.team, context)?.let { team ->
                val offers = report.offers.filterNot { resendGrant(GrantKey(from, it.request), context) }
                demand.apply(from, team, report.copy(offers = offers))
            }
        }
        dispatch(context)
    }

    fun withdraw(from: RouterId, message: Withdraw, context: AllotterContext) {
        if (!requireRegistered(row(from), context)) return
        message.requests.forEach { demand.remove(GrantKey(from, it)) }
    }

    fun progress(from: RouterId, message: Progress, context: AllotterContext) {
        val router = row(from)
        if (!requireRegistered(router, context)) return
        message.grants.forEach { report ->
            val grant = grants[GrantKey(from, report.request)]
            if (grant == null) {
                requestRegistration(router, context)
            } else {
                grants.update(grant, report.charged, context.now)
            }
        }
    }

    fun settle(from: RouterId, message: Settle, context: AllotterContext) {
        val router = row(from)
        if (!requireRegistered(router, context)) return
        val grant = grants[GrantKey(from, message.request)] ?: return
        grants.close(grant, message.cost)
        router.addChargedService(grant.team, message.cost)
        recordOutcome(grant, message, context)
        dispatch(context)
    }

    fun connected(router: RouterId, context: AllotterContext) {
        val known = routers[router] ?: return
        if (known.isRegistered) requestRegistration(known, context)
    }

    /** Frees the grants of routers that are gone or have restarted, and requests registration from new ones. */
    fun membersChanged(context: AllotterContext) {
        routers.values.forEach { router ->
            val member = context.members[router.router]
            val isRestarted = member != null && router.incarnation != null && member.incarnation > router.incarnation!!
            if (member == null && router.goneSince == null) router.goneSince = context.now
            if (member != null) router.goneSince = null
            if (member == null || isRestarted) registration.release(router)
        }
        requestMissingRegistrations(context)
        finishCollecting(context)
        dispatch(context)
    }

    fun documentChanged(context: AllotterContext) {
        servers.adopt(context.shardMap.serversOf(shard))
        order.teams.toList().forEach { team ->
            val entry = context.document.teams[team.team]
            val isAllowed = entry != null && shard.pool in entry.pools
            if (isAllowed) order.updateShare(team, entry.share) else demand.removeTeam(team)
        }
        order.retain { it.team in context.document.teams || it.running > 0 }
        order.retainGrantLevels { context.shardMap.eligible(it).isNotEmpty() }
        estimator.retain(context.document.teams.keys)
        dispatch(context)
    }

    fun loadReported(report: LoadReport, context: AllotterContext) {
        val server = servers[report.server] ?: return
        server.limit.reported(report, server.inFlight, context.now)
        dispatch(context)
    }

    fun tick(context: AllotterContext) {
        repair(context)
        finishCollecting(context)
        dispatch(context)
    }

    fun clear() {
        demand.clear()
        grants.rows.toList().forEach { grants.close(it, it.charged) }
        servers.clear()
    }

    private fun row(router: RouterId): RouterRow = routers.getOrPut(router) { RouterRow(router) }

    private fun requestRegistration(router: RouterRow, context: AllotterContext) {
        if (!router.isRegistered && context.now < router.nextRequestAt) return
        router.isRegistered = false
        router.nextRequestAt = context.now.plusMilliseconds(settings.registrationMilliseconds)
        context.send(router.router, RegisterRequest(shard, incarnation))
    }

    private fun requireRegistered(router: RouterRow, context: AllotterContext): Boolean {
        if (router.isRegistered) term.extend(context.now) else requestRegistration(router, context)
        return router.isRegistered
    }

    /** Resends the grant of a request that is offered again, since the router cannot have received it. */
    private fun resendGrant(key: GrantKey, context: AllotterContext): Boolean {
        val grant = grants[key] ?: return false
        context.send(key.router, Grant(shard, key.request, grant.server))
        return true
    }

    private fun recordOutcome(grant: GrantRow, message: Settle, context: AllotterContext) {
        val server = servers[grant.server]
        if (message.hasServerFailed) {
            val isEjected = server?.health?.failed(grant.key.router, context.now) == true
            if (isEjected) context.log(SharingLogEvent.SERVER_EJECTED, mapOf("server" to grant.server))
        } else if (message.cost > 0) {
            val isRestored = server?.health?.succeeded() == true
            if (isRestored) context.log(SharingLogEvent.SERVER_RESTORED, mapOf("server" to grant.server))
            server?.limit?.settled(message.cost, context.now.secondsSince(grant.grantedAt), server.inFlight + 1)
            estimator.settled(grant.team, grant.hint, message.cost, context.initialCost(shard.pool))
        }
    }

    private fun finishCollecting(context: AllotterContext) {
        if (!term.isCollecting) return
        val missing = context.members.keys.count { routers[it]?.isRegistered != true }
        if ((!term.isPrimary || missing > 0) && context.now < term.collectingUntil) return
        if (term.isPrimary && missing > 0) {
            context.log(SharingLogEvent.REGISTRATIONS_MISSING, mapOf("shard" to shard, "missing" to missing))
        }
        term.finishCollecting()
        order.raisesNewlyBacklogged = true
        order.raiseAll(order.highestCounter() - registration.maximumCredit(context))
    }

    private fun repair(context: AllotterContext) {
        if (context.now < nextRepairAt) return
        nextRepairAt = context.now.plusMilliseconds(REPAIR_PERIOD_MILLISECONDS)
        if (servers.isIncomplete) servers.adopt(context.shardMap.serversOf(shard))
        val stale = context.now.plusMilliseconds(-settings.repairMilliseconds)
        val silent =
            grants.rows
                .filter { it.reportedAt < stale }
                .map { it.key.router }
                .toSet()
        silent.forEach { requestRegistration(row(it), context) }
        val forgotten = context.now.plusMilliseconds(-GONE_ROUTER_RETENTION_MILLISECONDS)
        routers.values.removeIf { row -> row.goneSince?.let { it < forgotten } == true }
        requestMissingRegistrations(context)
    }

    private fun requestMissingRegistrations(context: AllotterContext) {
        if (!term.isPrimary) return
        context.members.keys
            .map { row(it) }
            .filterNot { it.isRegistered }
            .forEach { requestRegistration(it, context) }
    }

    private fun dispatch(context: AllotterContext) {
        if (!context.mayGiveOutWork || term.isCollecting || demand.isEmpty) return
        dispatcher.dispatch(
            context,
            term.maximumGrants(servers.slots, isPrimaryUnreachable(context), context.now),
        ) { router ->
            routers[router]?.isRegistered == true
        }
    }

    /**
     * Whether the primary allotter is unreachable from this router and from at least one other, which registered here
     * for that reason. A single router may merely have lost its own connections.
     */
    private fun isPrimaryUnreachable(context: AllotterContext): Boolean = !term.isPrimary &&
        context.isPrimaryUnreachable(shard) &&
        routers.values.any { it.isRegistered && it.router != self }

    private companion object {
        const val REPAIR_PERIOD_MILLISECONDS = 100L

        /** Retention of the served counters of a router that is gone, in case a network partition heals. */
        const val GONE_ROUTER_RETENTION_MILLISECONDS = 600_000L
    }
}
