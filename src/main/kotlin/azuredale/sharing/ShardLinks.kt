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

    fun open(shard: ShardId, context: RequesterContext): ShardLink = links.getOrPut(shard) {
        ShardLink(shard, context.now).also { choose(it, context) }
    }

    /** Selects the first reachable candidate, or the first candidate when none is reachable. */
    private fun choose(link: ShardLink, context: RequesterContext) {
        val candidates = candidates(link.shard, context)
        val reachable = candidates.firstOrNull { !isUnreachable(it, context.now) }
        val target = reachable ?: candidates.firstOrNull()
        link.choose(target, context.members[target]?.incarnation, context.now)
    }

    /** Whether to register with [from] at its request: it is the allotter in use, or it ranks above that one. */
    fun accepts(link: ShardLink, from: RouterId, context: RequesterContext): Boolean {
        if (from == link.target) return true
        val order = topology.order(link.shard, context.shardMap, context.members)
        val rank = order.indexOf(from)
        return rank >= 0 && rank < order.indexOf(link.target)
    }

    /** Switches [link] to [from] and marks it as registered. */
    fun registerWith(link: ShardLink, from: RouterId, context: RequesterContext) {
        reachability.markReachable(from)
        link.choose(from, context.members[from]?.incarnation, context.now)
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
    fun membersChanged(context: RequesterContext) {
        reachability.retain(context.members.keys)
        links.values.forEach { choose(it, context) }
    }

    /** Drops the links of shards that no longer exist. */
    fun retain(shardMap: ShardMap) {
        links.keys.retainAll(shardMap.shards)
    }

    /** Prompts the allotters that do not hold this router's registration to request it. */
    fun promptAllotters(context: RequesterContext, isNeeded: (ShardId) -> Boolean) {
        links.values.forEach { link ->
            if (link.isRegistered) {
                tryPreferred(link, context)
            } else if (isNeeded(link.shard)) {
                promptTarget(link, context)
            }
        }
    }

    private fun promptTarget(link: ShardLink, context: RequesterContext) {
        link.promptedAt?.let { since ->
            link.target?.takeIf { it != self }?.let { markUnresponsive(it, since, context.now) }
        }
        choose(link, context)
        if (context.now < link.nextPromptAt) return
        link.nextPromptAt = context.now.plusMilliseconds(PROMPT_PERIOD_MILLISECONDS)
        link.recordPrompt(context.now)
        val target = link.target ?: return
        context.send(target, Demand(link.shard, emptyList()))
        tryPreferred(link, context)
    }

    private fun markUnresponsive(router: RouterId, since: Timestamp, now: Timestamp) {
        if (now >= since.plusMilliseconds(settings.unreachableMilliseconds)) reachability.markUnreachable(router, since)
    }

    private fun tryPreferred(link: ShardLink, context: RequesterContext) {
        if (context.now < link.nextPreferredAttemptAt) return
        link.nextPreferredAttemptAt = context.now.plusMilliseconds(settings.retryMilliseconds)
        val preferred = candidates(link.shard, context).firstOrNull()
        if (preferred == null || preferred == link.target) return
        context.send(preferred, Demand(link.shard, emptyList()))
    }

    private fun isUnreachable(router: RouterId, now: Timestamp): Boolean =
        router != self && reachability.isUnreachable(router, settings.unreachableMilliseconds, now)

    private fun candidates(shard: ShardId, context: RequesterContext): List<RouterId> =
        topology.order(shard, context.shardMap, context.members).take(MAXIMUM_CANDIDATES)

    private companion object {
        const val PROMPT_PERIOD_MILLISECONDS = 200L

        /** Limits how many allotters of one shard a network partition can start. */
        const val MAXIMUM_CANDIDATES = 3
    }
}
