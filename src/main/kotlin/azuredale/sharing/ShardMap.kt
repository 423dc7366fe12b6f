package azuredale.sharing

import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.Pool
import azuredale.configuration.Requirement
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.protocol.ShardId
import java.util.concurrent.ConcurrentHashMap

/**
 * The shards of a document's pools with their servers; every node derives the same map.
 *
 * When a pool has as many shards as regions, each shard holds the servers of one region, so that a region continues to
 * allot its own servers while it is cut off. A server's shard is chosen by hash, so adding one moves no other.
 */
internal class ShardMap(private val document: Document) {
    private val shardOfServer: Map<ServerId, ShardId> =
        document.pools.values
            .flatMap(::place)
            .toMap()
    private val servers: Map<ShardId, List<BackendServer>> =
        document.servers.values
            .filter { it.id in shardOfServer }
            .groupBy { shardOfServer.getValue(it.id) }
    private val regions: Map<ShardId, Region?> = servers.mapValues { (_, members) -> largestRegion(members) }

    private val eligibleShards = ConcurrentHashMap<Requirement, List<ShardId>>()

    /** All shards that hold a server. */
    val shards: Set<ShardId> get() = servers.keys

    fun shardOf(server: ServerId): ShardId? = shardOfServer[server]

    /** Sum of the slots of the shard's servers. */
    fun slotsOf(shard: ShardId): Int = serversOf(shard).sumOf { it.slots }

    fun serversOf(shard: ShardId): List<BackendServer> = servers[shard].orEmpty()

    fun shardsOf(pool: PoolId): List<ShardId> = shards.filter { it.pool == pool }

    /** The region that holds the shard's servers; null when the document names no region for them. */
    fun regionOf(shard: ShardId): Region? = regions[shard]

    /** Shards with a server that may be given a request with [requirement]. */
    fun eligible(requirement: Requirement): List<ShardId> {
        eligibleShards[requirement]?.let { return it }
        val found =
            shardsOf(requirement.pool)
                .filter { shard -> serversOf(shard).any { document.allows(it.id, requirement) } }
        // Requirements come from callers; only those that the document can serve are few enough to keep.
        if (found.isNotEmpty()) eligibleShards[requirement] = found
        return found
    }

    private fun regionOf(server: BackendServer): Region? = document.failureDomains[server.failureDomain]

    private fun place(pool: Pool): List<Pair<ServerId, ShardId>> {
        val byRegion = document.serversOf(pool.id).groupBy { regionOf(it)?.name.orEmpty() }.toSortedMap()
        val numbers = numbersByRegion(pool, byRegion)
        return byRegion.flatMap { (region, members) ->
            members.map { server ->
                val number =
                    numbers
                        .getValue(
                            region,
                        ).minBy { StableHash.of(pool.id.name, it.toString(), server.id.name) }
                server.id to ShardId(pool.id, number)
            }
        }
    }

    /** Deals shard numbers to regions in proportion to slots, at least one each. */
    private fun numbersByRegion(pool: Pool, byRegion: Map<String, List<BackendServer>>): Map<String, List<Int>> {
        val all = (0 until pool.shards.coerceAtLeast(1)).toList()
        if (all.size < byRegion.size || byRegion.size <= 1) return byRegion.mapValues { all }
        val dealt = byRegion.keys.associateWith { 1 }.toMutableMap()
        val slots = byRegion.mapValues { (_, members) -> members.sumOf { it.slots }.toDouble() }
        repeat(all.size - byRegion.size) {
            val next = dealt.keys.maxBy { slots.getValue(it) / dealt.getValue(it) }
            dealt[next] = dealt.getValue(next) + 1
        }
        var first = 0
        return dealt.mapValues { (_, count) -> all.subList(first, first + count).also { first += count } }
    }

    private fun largestRegion(members: List<BackendServer>): Region? = members
        .groupBy(::regionOf)
        .mapValues { (_, group) -> group.sumOf { it.slots } }
        .entries
        .sortedWith(compareByDescending<Map.Entry<Region?, Int>> { it.value }.thenBy { it.key?.name.orEmpty() })
        .firstOrNull()
        ?.key
}
