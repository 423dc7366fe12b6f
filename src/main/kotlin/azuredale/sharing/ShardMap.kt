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
 * Assignment of the servers of a document to the shards of their pools; deterministic, so all nodes derive the same.
 *
 * When a pool has at least as many shards as regions, each shard holds servers of only one region, so that a region
 * keeps allotting its own servers during a network partition. A server's shard is chosen by hash, so adding a server
 * moves no other.
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

    /** All shards with at least one server. */
    val shards: Set<ShardId> get() = servers.keys

    fun shardOf(server: ServerId): ShardId? = shardOfServer[server]

    /** Total slots of the shard's servers. */
    fun slotsOf(shard: ShardId): Int = serversOf(shard).sumOf { it.slots }

    fun serversOf(shard: ShardId): List<BackendServer> = servers[shard].orEmpty()

    fun shardsOf(pool: PoolId): List<ShardId> = shards.filter { it.pool == pool }

    /** The region with most of the shard's slots; null when the document assigns no region. */
    fun regionOf(shard: ShardId): Region? = regions[shard]

    /** Shards with at least one server that may run a request with [requirement]. */
    fun eligible(requirement: Requirement): List<ShardId> {
        eligibleShards[requirement]?.let { return it }
        val found =
            shardsOf(requirement.pool)
                .filter { shard -> serversOf(shard).any { document.allows(it.id, requirement) } }
        // Callers choose requirements freely; caching only those that can be served keeps the cache bounded.
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

    /** Distributes shard numbers over regions in proportion to slots, at least one per region. */
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
