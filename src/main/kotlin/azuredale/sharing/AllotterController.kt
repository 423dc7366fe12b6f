package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.protocol.Demand
import azuredale.protocol.PeerMessage
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.Settle
import azuredale.protocol.ShardId
import azuredale.protocol.Withdraw
import azuredale.time.Timestamp

/**
 * Assigns the slots of backend servers to waiting requests, for the shards whose allotter is this router.
 *
 * The primary allotter of a shard is the first router in the shard's rendezvous order. A secondary allotter serves
 * routers that cannot reach the primary.
 *
 * Every entry point returns the messages to send. Methods may be called by several workers concurrently; each call
 * locks the allotter's tables in rank order.
 *
 * ```
 * val allotter = AllotterController(environment)
 * val grants = allotter.messageReceived(RouterId("router-2"), demand, now)
 * ```
 */
public class AllotterController(
    private val environment: SharingEnvironment,
    private val settings: SharingSettings = SharingSettings(),
    private val log: SharingLog = { _, _ -> },
) {
    private val tables = AllotterTables()
    private val prefixes = PrefixIndex()
    private val allotments = LinkedHashMap<ShardId, ShardAllotment>()
    private val topology = Topology()
    private val reachability = Reachability()

    /** The shards that this router currently allots. */
    public fun shards(): Set<ShardId> = tables.locked { allotments.keys.toSet() }

    /** A copy of the allotter's state, for the operator interface. */
    public fun snapshot(): AllotterSnapshot =
        tables.locked { AllotterSnapshot(allotments.values.map(ShardAllotment::snapshot)) }

    /** Handles a [message] from a requester; messages of other kinds are ignored. */
    public fun messageReceived(from: RouterId, message: PeerMessage, now: Timestamp): List<NodeEffect> = handle(now) {
        reachability.markReachable(from)
        when (message) {
            is Register -> allotments[message.shard]?.register(from, message, this)
            is Demand -> demandReceived(from, message)
            is Withdraw -> allotments[message.shard]?.withdraw(from, message, this)
            is Progress -> allotments[message.shard]?.progress(from, message, this)
            is Settle -> allotments[message.shard]?.settle(from, message, this)
            else -> Unit
        }
    }

    /** Requests a new registration from [router], since messages may have been lost before the reconnect. */
    public fun peerConnected(router: RouterId, now: Timestamp): List<NodeEffect> = handle(now) {
        reachability.markReachable(router)
        allotments.values.forEach { it.connected(router, this) }
    }

    /** Records that [router] is unreachable; its grants stay valid until membership removes it. */
    public fun peerDisconnected(router: RouterId, now: Timestamp): List<NodeEffect> = handle(now) {
        reachability.markUnreachable(router, now)
    }

    /** Adjusts the concurrency limit of the reporting backend server. */
    public fun loadReported(report: LoadReport, now: Timestamp): List<NodeEffect> = handle(now) {
        allotments.values.forEach { it.loadReported(report, this) }
    }

    /** Records which prompt prefixes backend servers have cached or evicted. */
    public fun cacheEventsReceived(events: List<CacheEvent>, now: Timestamp): List<NodeEffect> = handle(now) {
        events.forEach(prefixes::apply)
    }

    /** Applies the teams, shares and servers of the current document. */
    public fun documentChanged(now: Timestamp): List<NodeEffect> = handle(now) {
        updateShards(this)
        allotments.values.forEach { it.documentChanged(this) }
    }

    /** Starts and ends allotments, and frees the grants of routers that are no longer members. */
    public fun membersChanged(now: Timestamp): List<NodeEffect> = handle(now) {
        reachability.retain(members.keys)
        updateShards(this)
        allotments.values.forEach { it.membersChanged(this) }
    }

    /** Processes expired timers; called every 20 ms. */
    public fun tick(now: Timestamp): List<NodeEffect> = handle(now) {
        updateShards(this)
        allotments.values.forEach { it.tick(this) }
    }

    /** Reads document and members before locking the allotter's tables, because the former have lower lock ranks. */
    private fun handle(now: Timestamp, block: AllotterContext.() -> Unit): List<NodeEffect> {
        val document = environment.document() ?: return emptyList()
        val members = environment.members().associateBy { it.router }
        val mayGiveOutWork = environment.mayGiveOutWork(now)
        return tables.locked {
            val shardMap = topology.shardMap(document)
            val context =
                AllotterContext(now, document.document, shardMap, members, mayGiveOutWork, log) { shard ->
                    topology.order(shard, shardMap, members).firstOrNull()?.let { isUnreachable(it, now) } ?: false
                }
            context.block()
            context.effects
        }
    }

    private fun AllotterContext.demandReceived(from: RouterId, message: Demand) {
        val isRegistrationPrompt = message.teams.isEmpty() && message.shard in shardMap.shards
        if (isRegistrationPrompt && message.shard !in allotments) open(message.shard).startSecondary(this)
        allotments[message.shard]?.demand(from, message, this)
    }

    private fun updateShards(context: AllotterContext) {
        val own = topology.primaryShardsOf(environment.self, context.shardMap, context.members)
        own.forEach { shard ->
            val allotment = allotments[shard] ?: open(shard)
            if (!allotment.term.isPrimary) allotment.startPrimary(context)
        }
        allotments.values.filter { it.shard !in own && it.term.isPrimary }.forEach { it.term.handOver(context.now) }
        allotments.values
            .filter { it.shard !in context.shardMap.shards || it.term.isExpired(context.now) }
            .forEach { ended ->
                log(SharingLogEvent.ALLOTMENT_ENDED, mapOf("shard" to ended.shard))
                ended.clear()
                allotments.remove(ended.shard)
            }
    }

    private fun isUnreachable(router: RouterId, now: Timestamp): Boolean =
        router != environment.self && reachability.isUnreachable(router, settings.unreachableMilliseconds, now)

    private fun open(shard: ShardId): ShardAllotment =
        ShardAllotment(shard, environment.self, environment.incarnation, settings, tables, prefixes).also {
            allotments[shard] =
                it
        }
}
