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
    val ledger = GrantLedger(tables, order)
    val demand = ShardDemand(shard, settings, tables, order)
    val term = AllotterTerm(settings)
    private val estimator = CostEstimator()
    private val routers = HashMap<RouterId, RouterRow>()
    private var nextRepairAt = Timestamp.DISTANT_PAST
    private val registration = RouterRegistration(shard, settings, order, ledger, demand, estimator)
    private val dispatcher = GrantDispatcher(shard, order, servers, ledger, demand, estimator, prefixes)

    /** Requests registration from every member; grants start once all have registered or a deadline has passed. */
    fun startPrimary(turn: AllotterTurn) {
        if (!term.isPrimary) turn.log(SharingLogEvent.ALLOTMENT_STARTED, mapOf("shard" to shard, "role" to "primary"))
        term.startPrimary(turn.now)
        order.raisesNewlyBacklogged = false
        documentChanged(turn)
        routers.values.forEach { it.isRegistered = false }
        turn.members.keys.forEach { requestRegistration(row(it), turn) }
    }

    /** Starts to serve routers that cannot reach the primary allotter. */
    fun startSecondary(turn: AllotterTurn) {
        turn.log(SharingLogEvent.ALLOTMENT_STARTED, mapOf("shard" to shard, "role" to "secondary"))
        term.startSecondary(turn.now)
        order.raisesNewlyBacklogged = false
        documentChanged(turn)
    }

    fun register(from: RouterId, message: Register, turn: AllotterTurn) {
        val router = row(from)
        // An unsolicited registration is ignored: grants in transit would be missing from it and be treated as lost.
        if (router.isRegistered) return
        term.extend(turn.now)
        registration.apply(router, message, turn, isCollecting = term.isCollecting)
        finishCollecting(turn)
        dispatch(turn)
    }

    /** Handles reported demand; a message without teams asks the allotter to send a registration request. */
    fun demand(from: RouterId, message: Demand, turn: AllotterTurn) {
        val router = row(from)
        if (message.teams.isEmpty()) router.isRegistered = false
        if (!requireRegistered(router, turn)) return
        message.teams.forEach { report ->
            registration.allowedTeam(report.team, turn)?.let { team ->
                val heads = report.heads.filterNot { resendGrant(GrantKey(from, it.request), turn) }
                demand.apply(from, team, report.copy(heads = heads))
            }
        }
        dispatch(turn)
    }

    fun withdraw(from: RouterId, message: Withdraw, turn: AllotterTurn) {
        if (!requireRegistered(row(from), turn)) return
        message.requests.forEach { demand.remove(GrantKey(from, it)) }
    }

    fun progress(from: RouterId, message: Progress, turn: AllotterTurn) {
        val router = row(from)
        if (!requireRegistered(router, turn)) return
        message.grants.forEach { report ->
            val grant = ledger[GrantKey(from, report.request)]
            if (grant == null) requestRegistration(router, turn) else ledger.update(grant, report.charged, turn.now)
        }
    }

    fun settle(from: RouterId, message: Settle, turn: AllotterTurn) {
        val router = row(from)
        if (!requireRegistered(router, turn)) return
        val grant = ledger[GrantKey(from, message.request)] ?: return
        ledger.close(grant, message.cost)
        router.addChargedService(grant.team, message.cost)
        recordOutcome(grant, message, turn)
        dispatch(turn)
    }

    fun connected(router: RouterId, turn: AllotterTurn) {
        val known = routers[router] ?: return
        if (known.isRegistered) requestRegistration(known, turn)
    }

    /** Frees the grants of routers that are gone or have restarted, and requests registration from new ones. */
    fun membersChanged(turn: AllotterTurn) {
        routers.values.forEach { router ->
            val member = turn.members[router.router]
            val isRestarted = member != null && router.incarnation != null && member.incarnation > router.incarnation!!
            if (member == null && router.goneSince == null) router.goneSince = turn.now
            if (member != null) router.goneSince = null
            if (member == null || isRestarted) registration.release(router)
        }
        requestMissingRegistrations(turn)
        finishCollecting(turn)
        dispatch(turn)
    }

    fun documentChanged(turn: AllotterTurn) {
        servers.adopt(turn.shardMap.serversOf(shard))
        order.teams.toList().forEach { team ->
            val entry = turn.document.teams[team.team]
            val isAllowed = entry != null && shard.pool in entry.pools
            if (isAllowed) order.updateShare(team, entry.share) else demand.removeTeam(team)
        }
        order.retain { it.team in turn.document.teams || it.running > 0 }
        order.retainLevels { turn.shardMap.eligible(it).isNotEmpty() }
        estimator.retain(turn.document.teams.keys)
        dispatch(turn)
    }

    fun loadReported(report: LoadReport, turn: AllotterTurn) {
        val server = servers[report.server] ?: return
        server.limit.reported(report, server.inFlight, turn.now)
        dispatch(turn)
    }

    fun tick(turn: AllotterTurn) {
        repair(turn)
        finishCollecting(turn)
        dispatch(turn)
    }

    fun clear() {
        demand.clear()
        ledger.rows.toList().forEach { ledger.close(it, it.charged) }
        servers.clear()
    }

    private fun row(router: RouterId): RouterRow = routers.getOrPut(router) { RouterRow(router) }

    private fun requestRegistration(router: RouterRow, turn: AllotterTurn) {
        if (!router.isRegistered && turn.now < router.nextRequestAt) return
        router.isRegistered = false
        router.nextRequestAt = turn.now.plusMilliseconds(settings.registrationMilliseconds)
        turn.send(router.router, RegisterRequest(shard, incarnation))
    }

    private fun requireRegistered(router: RouterRow, turn: AllotterTurn): Boolean {
        if (router.isRegistered) term.extend(turn.now) else requestRegistration(router, turn)
        return router.isRegistered
    }

    /** Resends the grant of a request that is offered again, since the router cannot have received it. */
    private fun resendGrant(key: GrantKey, turn: AllotterTurn): Boolean {
        val grant = ledger[key] ?: return false
        turn.send(key.router, Grant(shard, key.request, grant.server))
        return true
    }

    private fun recordOutcome(grant: GrantRow, message: Settle, turn: AllotterTurn) {
        val server = servers[grant.server]
        if (message.hasServerFailed) {
            val isEjected = server?.health?.failed(grant.key.router, turn.now) == true
            if (isEjected) turn.log(SharingLogEvent.SERVER_EJECTED, mapOf("server" to grant.server))
        } else if (message.cost > 0) {
            val isRestored = server?.health?.succeeded() == true
            if (isRestored) turn.log(SharingLogEvent.SERVER_RESTORED, mapOf("server" to grant.server))
            server?.limit?.settled(message.cost, turn.now.secondsSince(grant.grantedAt), server.inFlight + 1)
            estimator.settled(grant.team, grant.hint, message.cost, turn.initialCost(shard.pool))
        }
    }

    private fun finishCollecting(turn: AllotterTurn) {
        if (!term.isCollecting) return
        val missing = turn.members.keys.count { routers[it]?.isRegistered != true }
        if ((!term.isPrimary || missing > 0) && turn.now < term.collectingUntil) return
        if (term.isPrimary && missing > 0) {
            turn.log(SharingLogEvent.REGISTRATIONS_MISSING, mapOf("shard" to shard, "missing" to missing))
        }
        term.finishCollecting()
        order.raisesNewlyBacklogged = true
        order.raiseAll(order.highestCounter() - registration.maximumCredit(turn))
    }

    private fun repair(turn: AllotterTurn) {
        if (turn.now < nextRepairAt) return
        nextRepairAt = turn.now.plusMilliseconds(REPAIR_PERIOD_MILLISECONDS)
        if (servers.isIncomplete) servers.adopt(turn.shardMap.serversOf(shard))
        val stale = turn.now.plusMilliseconds(-settings.repairMilliseconds)
        val silent =
            ledger.rows
                .filter { it.reportedAt < stale }
                .map { it.key.router }
                .toSet()
        silent.forEach { requestRegistration(row(it), turn) }
        val forgotten = turn.now.plusMilliseconds(-GONE_ROUTER_RETENTION_MILLISECONDS)
        routers.values.removeIf { row -> row.goneSince?.let { it < forgotten } == true }
        requestMissingRegistrations(turn)
    }

    private fun requestMissingRegistrations(turn: AllotterTurn) {
        if (!term.isPrimary) return
        turn.members.keys
            .map { row(it) }
            .filterNot { it.isRegistered }
            .forEach { requestRegistration(it, turn) }
    }

    private fun dispatch(turn: AllotterTurn) {
        if (!turn.mayGiveOutWork || term.isCollecting || demand.isEmpty) return
        dispatcher.dispatch(turn, term.maximumGrants(servers.slots, isPrimaryUnreachable(turn), turn.now)) { router ->
            routers[router]?.isRegistered == true
        }
    }

    /**
     * Whether the primary allotter is unreachable from this router and from at least one other, which registered here
     * for that reason. A single router may merely have lost its own connections.
     */
    private fun isPrimaryUnreachable(turn: AllotterTurn): Boolean = !term.isPrimary &&
        turn.isPrimaryUnreachable(shard) &&
        routers.values.any { it.isRegistered && it.router != self }

    private companion object {
        const val REPAIR_PERIOD_MILLISECONDS = 100L

        /** Retention of the served counters of a router that is gone, in case a network partition heals. */
        const val GONE_ROUTER_RETENTION_MILLISECONDS = 600_000L
    }
}
