package azuredale.sharing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.protocol.ShardId

/** Caches the shard map and the allotter order until the document or the members change. */
internal class Topology {
    private var mappedFor: AcceptedDocument? = null
    private var map: ShardMap? = null
    private var orderedMembers: Map<RouterId, Member> = emptyMap()
    private var orders: Map<ShardId, List<RouterId>> = emptyMap()

    fun shardMap(accepted: AcceptedDocument): ShardMap {
        val known = map
        if (known != null && mappedFor === accepted) return known
        mappedFor = accepted
        orders = emptyMap()
        return ShardMap(accepted.document).also { map = it }
    }

    /** Candidate allotters of [shard] in order of preference. */
    fun order(shard: ShardId, shardMap: ShardMap, members: Map<RouterId, Member>): List<RouterId> =
        orders(shardMap, members)[shard].orEmpty()

    /** Shards whose primary allotter is [router]. */
    fun primaryShardsOf(router: RouterId, shardMap: ShardMap, members: Map<RouterId, Member>): Set<ShardId> =
        orders(shardMap, members).filterValues { it.firstOrNull() == router }.keys

    private fun orders(shardMap: ShardMap, members: Map<RouterId, Member>): Map<ShardId, List<RouterId>> {
        if (orders.isEmpty() || !isSameOrder(orderedMembers, members)) {
            orders = shardMap.shards.associateWith { AllotterOrder.of(it, shardMap.regionOf(it), members.values) }
        }
        orderedMembers = members
        return orders
    }

    /** Ignores frequent member changes that do not affect the order, such as a new document revision. */
    private fun isSameOrder(old: Map<RouterId, Member>, new: Map<RouterId, Member>): Boolean = old === new ||
        (old.size == new.size && new.values.all { member -> old[member.router]?.ranksLike(member) == true })

    private fun Member.ranksLike(other: Member): Boolean =
        region == other.region && weight == other.weight && isDraining == other.isDraining && state == other.state
}
