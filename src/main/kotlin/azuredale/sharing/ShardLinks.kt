package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.protocol.Demand
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** Selects an allotter for each shard in use and keeps this router registered with it. */
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

    /** Selects the first reachable candidate, or the first candidate when none is reachable. */
    private fun choose(link: ShardLink, turn: RequesterTurn) {
        val candidates = candidates(link.shard, turn)
        val reachable = candidates.firstOrNull { !isUnreachable(it, turn.now) }
        val target = reachable ?: candidates.firstOrNull()
        link.choose(target, turn.members[target]?.incarnation, turn.now)
    }

    /** Whether to register with [from] at its request: it is the allotter in use, or it ranks above that one. */
    fun accepts(link: ShardLink, from: RouterId, turn: RequesterTurn): Boolean {
        if (from == link.target) return true
        val order = topology.order(link.shard, turn.shardMap, turn.members)
        val rank = order.indexOf(from)
        return rank >= 0 && rank < order.indexOf(link.target)
    }

    /** Switches [link] to [from] and marks it as registered. */
    fun registerWith(link: ShardLink, from: RouterId, turn: RequesterTurn) {
        reachability.markReachable(from)
        link.choose(from, turn.members[from]?.incarnation, turn.now)
        link.register()
    }

    fun disconnected(router: RouterId, now: Timestamp) {
        reachability.markUnreachable(router, now)
        links.values.filter { it.target == router }.forEach { it.unregister() }
    }

    /** Requires a new registration with [router], since messages may have been lost before the reconnect. */
    fun reconnected(router: RouterId, now: Timestamp) {
        reachability.markReachable(router)
        links.values.filter { it.target == router }.forEach { link ->
            link.unregister()
            link.nextPromptAt = now
        }
    }

    /** Selects allotters again among the current members. */
    fun membersChanged(turn: RequesterTurn) {
        reachability.retain(turn.members.keys)
        links.values.forEach { choose(it, turn) }
    }

    /** Drops the links of shards that no longer exist. */
    fun retain(shardMap: ShardMap) {
        links.keys.retainAll(shardMap.shards)
    }

    /** Prompts the allotters that do not hold this router's registration to request it. */
    fun promptAllotters(turn: RequesterTurn, isNeeded: (ShardId) -> Boolean) {
        links.values.forEach { link ->
            if (link.isRegistered) {
                tryPreferred(link, turn)
            } else if (isNeeded(link.shard)) {
                promptTarget(link, turn)
            }
        }
    }

    private fun promptTarget(link: ShardLink, turn: RequesterTurn) {
        link.promptedAt?.let { since ->
            link.target?.takeIf { it != self }?.let { markUnresponsive(it, since, turn.now) }
        }
        choose(link, turn)
        if (turn.now < link.nextPromptAt) return
        link.nextPromptAt = turn.now.plusMilliseconds(PROMPT_PERIOD_MILLISECONDS)
        link.recordPrompt(turn.now)
        val target = link.target ?: return
        turn.send(target, Demand(link.shard, emptyList()))
        tryPreferred(link, turn)
    }

    private fun markUnresponsive(router: RouterId, since: Timestamp, now: Timestamp) {
        if (now >= since.plusMilliseconds(settings.unreachableMilliseconds)) reachability.markUnreachable(router, since)
    }

    private fun tryPreferred(link: ShardLink, turn: RequesterTurn) {
        if (turn.now < link.nextPreferredAttemptAt) return
        link.nextPreferredAttemptAt = turn.now.plusMilliseconds(settings.retryMilliseconds)
        val preferred = candidates(link.shard, turn).firstOrNull()
        if (preferred == null || preferred == link.target) return
        turn.send(preferred, Demand(link.shard, emptyList()))
    }

    private fun isUnreachable(router: RouterId, now: Timestamp): Boolean =
        router != self && reachability.isUnreachable(router, settings.unreachableMilliseconds, now)

    private fun candidates(shard: ShardId, turn: RequesterTurn): List<RouterId> =
        topology.order(shard, turn.shardMap, turn.members).take(MAXIMUM_CANDIDATES)

    private companion object {
        const val PROMPT_PERIOD_MILLISECONDS = 200L

        /** Limits how many allotters of one shard a network partition can start. */
        const val MAXIMUM_CANDIDATES = 3
    }
}
