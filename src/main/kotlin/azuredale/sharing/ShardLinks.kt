package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.protocol.Demand
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** Chooses the allotter of every shard in use and keeps this router registered there. */
internal class ShardLinks(
    private val self: RouterId,
    private val settings: SharingSettings,
    private val topology: Topology,
) {
    private val links = LinkedHashMap<ShardId, ShardLink>()
    private val reachability = Reachability()

    val all: Collection<ShardLink> get() = links.values

    operator fun get(shard: ShardId): ShardLink? = links[shard]

    fun isRegistered(shard: ShardId): Boolean = links[shard]?.isRegistered == true

    fun open(shard: ShardId, turn: RequesterTurn): ShardLink = links.getOrPut(shard) {
        ShardLink(shard, turn.now).also { choose(it, turn) }
    }

    /** Uses the first allotter in order that is reachable, or the first one when none is. */
    private fun choose(link: ShardLink, turn: RequesterTurn) {
        val candidates = candidates(link.shard, turn)
        val reachable = candidates.firstOrNull { !isLost(it, turn.now) }
        val target = reachable ?: candidates.firstOrNull()
        link.choose(target, turn.members[target]?.incarnation, turn.now)
    }

    /** Whether a request for registration of [from] replaces the allotter in use. */
    fun accepts(link: ShardLink, from: RouterId, turn: RequesterTurn): Boolean {
        if (from == link.target) return true
        val order = topology.order(link.shard, turn.shardMap, turn.members)
        val rank = order.indexOf(from)
        return rank >= 0 && rank < order.indexOf(link.target)
    }

    /** Answers to [from] from now on. */
    fun registerWith(link: ShardLink, from: RouterId, turn: RequesterTurn) {
        reachability.reached(from)
        link.choose(from, turn.members[from]?.incarnation, turn.now)
        link.register()
    }

    fun lost(router: RouterId, now: Timestamp) {
        reachability.lost(router, now)
        links.values.filter { it.target == router }.forEach { it.unregister() }
    }

    /** Messages to [router] may be lost, so its allotments must register this router again. */
    fun reconnected(router: RouterId, now: Timestamp) {
        reachability.reached(router)
        links.values.filter { it.target == router }.forEach { link ->
            link.unregister()
            link.helloAt = now
        }
    }

    /** Chooses the allotters again among the present members. */
    fun membersChanged(turn: RequesterTurn) {
        reachability.retain(turn.members.keys)
        links.values.forEach { choose(it, turn) }
    }

    /** Drops links of shards that the document no longer has. */
    fun retain(shardMap: ShardMap) {
        links.keys.retainAll(shardMap.shards)
    }

    /** Asks allotters that do not hold this router's registration to request it. */
    fun greet(turn: RequesterTurn, isNeeded: (ShardId) -> Boolean) {
        links.values.forEach { link ->
            if (link.isRegistered) {
                tryPreferred(link, turn)
            } else if (isNeeded(link.shard)) {
                greetTarget(link, turn)
            }
        }
    }

    private fun greetTarget(link: ShardLink, turn: RequesterTurn) {
        link.greetedAt?.let { since -> link.target?.takeIf { it != self }?.let { markSilent(it, since, turn.now) } }
        choose(link, turn)
        if (turn.now < link.helloAt) return
        link.helloAt = turn.now.plusMilliseconds(HELLO_MILLISECONDS)
        link.greeted(turn.now)
        val target = link.target ?: return
        turn.send(target, Demand(link.shard, emptyList()))
        tryPreferred(link, turn)
    }

    private fun markSilent(router: RouterId, since: Timestamp, now: Timestamp) {
        if (now >= since.plusMilliseconds(settings.lossMilliseconds)) reachability.lost(router, since)
    }

    private fun tryPreferred(link: ShardLink, turn: RequesterTurn) {
        if (turn.now < link.preferredAt) return
        link.preferredAt = turn.now.plusMilliseconds(settings.retryMilliseconds)
        val preferred = candidates(link.shard, turn).firstOrNull()
        if (preferred == null || preferred == link.target) return
        turn.send(preferred, Demand(link.shard, emptyList()))
    }

    private fun isLost(router: RouterId, now: Timestamp): Boolean =
        router != self && reachability.isLost(router, settings.lossMilliseconds, now)

    private fun candidates(shard: ShardId, turn: RequesterTurn): List<RouterId> =
        topology.order(shard, turn.shardMap, turn.members).take(CANDIDATES)

    private companion object {
        const val HELLO_MILLISECONDS = 200L

        /** More candidates would let a partition start more allotters of one shard. */
        const val CANDIDATES = 3
    }
}
