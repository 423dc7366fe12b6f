package azuredale.sharing

import azuredale.identity.TeamId
import azuredale.protocol.Grant
import azuredale.protocol.Settle
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GrantCycleSpec {
    private val team = TeamId("clinic")
    private val document = testDocument(mapOf("clinic" to 1.0, "depot" to 1.0), listOf(testServer("s1", slots = 2)))

    @Nested
    inner class OneRequest {
        @Test
        fun `is granted, runs and frees its slot`() {
            // Guards against a slot that stays occupied after settlement.
            val fleet = SharingFleet(document, routerCount = 3)
            fleet.run(1_000)
            fleet.routers[1].submit(SharingFleet.Work(team, cost = 10.0))
            fleet.run(50)
            assertEquals(
                1,
                fleet
                    .allotter()
                    .allotter
                    .snapshot()
                    .shards
                    .single()
                    .servers
                    .single()
                    .inFlight,
            )
            fleet.run(1_000)
            val shard =
                fleet
                    .allotter()
                    .allotter
                    .snapshot()
                    .shards
                    .single()
            assertEquals(0, shard.servers.single().inFlight)
            assertEquals(10.0, shard.teams.single().counter, absoluteTolerance = 1e-9)
            assertEquals(1, fleet.sent.count { it.second is Grant })
            assertEquals(1, fleet.sent.count { it.second is Settle })
        }
    }

    @Nested
    inner class Limit {
        @Test
        fun `never gives a server more requests than its slots`() {
            // Guards against over-admission by grants that cross settlements.
            val fleet = SharingFleet(document, routerCount = 4)
            repeat(100) { fleet.routers[it % 4].submit(SharingFleet.Work(team, cost = 1.0)) }
            var most = 0
            fleet.run(5_000) { most = maxOf(most, fleet.running.size) }
            assertEquals(2, most)
            assertTrue(fleet.granted.size == 100, "granted ${fleet.granted.size} of 100")
        }
    }
}
