package azuredale.sharing

import azuredale.configuration.Recall
import azuredale.configuration.Requirement
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.protocol.ShardId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AllotterOrderSpec {
    private val members = (1..6).map { testMember(RouterId("router-$it")) }
    private val shards = (0 until 2_000).map { ShardId(testPool, it) }

    private fun first(members: List<azuredale.membership.Member>, shard: ShardId) =
        AllotterOrder.of(shard, testRegion, members).first()

    @Nested
    inner class Order {
        @Test
        fun `prefers members in proportion to their weight`() {
            // Guards against ignoring weights, so that a large VM allots no more shards than a small one.
            val weighted = members.map { if (it.router.name == "router-1") it.copy(weight = 5.0) else it }
            val part = shards.count { first(weighted, it).name == "router-1" } / shards.size.toDouble()
            assertTrue(part in 0.46..0.54, "weight 5 of 10 ranks first for a fraction of $part of the shards")
        }

        @Test
        fun `moves no other shard when a member leaves, drains or belongs to another region`() {
            // Guards against a failover that reassigns unaffected shards.
            val lost = members[2].router
            val changes =
                listOf(
                    members.filter { it.router != lost },
                    members.map { if (it.router == lost) it.copy(isDraining = true) else it },
                    members.map { if (it.router == lost) it.copy(region = Region("north")) else it },
                )
            changes.forEach { changed ->
                shards.forEach { shard ->
                    val order = AllotterOrder.of(shard, testRegion, members)
                    assertEquals(order.first { it != lost }, first(changed, shard))
                }
            }
        }
    }

    @Nested
    inner class Shards {
        private val north = FailureDomain("n")
        private val servers =
            List(20) {
                testServer("s$it", 4).copy(
                    failureDomain =
                        if (it <
                            10
                        ) {
                            FailureDomain("a")
                        } else {
                            north
                        },
                    batch = BatchId("b$it"),
                )
            }
        private val document =
            testDocument(mapOf("t" to 1.0), servers, shards = 4)
                .let { it.copy(failureDomains = it.failureDomains + (north to Region("north"))) }

        @Test
        fun `hold servers of one region and keep their servers when one is added`() {
            // Guards against a partition that separates an allotter from its servers, and against reassigned servers.
            val map = ShardMap(document)
            map.shards.forEach { shard ->
                assertEquals(
                    1,
                    map
                        .serversOf(shard)
                        .map { it.failureDomain }
                        .toSet()
                        .size,
                    "$shard has servers in several regions",
                )
            }
            val more = document.servers + testServer("new", 4).let { it.id to it }
            val larger = ShardMap(document.copy(servers = more))
            servers.forEach { assertEquals(map.shardOf(it.id), larger.shardOf(it.id)) }
        }

        @Test
        fun `are not eligible when all their servers are recalled`() {
            // Guards against offers to a shard in which no server may run the request.
            val map = ShardMap(document)
            val recalled = map.serversOf(map.shards.first()).map { Recall(it.batch!!, "test") }.associateBy { it.batch }
            val eligible = ShardMap(document.copy(recalls = recalled)).eligible(Requirement(testPool))
            assertEquals(map.shards - map.shards.first(), eligible.toSet())
        }
    }
}
