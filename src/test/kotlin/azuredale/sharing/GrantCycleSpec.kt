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
            // Guards against a slot leak after settlement.
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
    inner class Charge {
        @Test
        fun `follows a request that costs more than its estimate while it runs`() {
            // Guards against long requests that are charged only when they end.
            val fleet = SharingFleet(document, routerCount = 3)
            fleet.run(1_000)
            fleet.routers[1].submit(SharingFleet.Work(team, cost = 1_000.0))
            fleet.run(8_000)
            val charged =
                fleet
                    .allotter()
                    .allotter
                    .snapshot()
                    .shards
                    .single()
                    .grants
                    .single()
                    .charged
            assertTrue(charged in 500.0..800.0, "charged $charged of 800 delivered")
        }
    }

    @Nested
    inner class Shards {
        @Test
        fun `with idle slots receive offers moved from a busy shard`() {
            // Guards against an idle shard while requests stay queued at a shard that became busy after the offer.
            val servers = (1..8).map { testServer("s$it", slots = 1) }
            val fleet = SharingFleet(testDocument(mapOf("clinic" to 1.0, "depot" to 1.0), servers, shards = 2), 3)
            fleet.run(1_000)
            repeat(8) { fleet.routers[1].submit(SharingFleet.Work(team, cost = if (it < 4) 30.0 else 1_000.0)) }
            repeat(8) { fleet.routers[1].submit(SharingFleet.Work(team, cost = 1_000.0)) }
            fleet.run(2_000)
            assertEquals(8, fleet.running.size)
        }
    }
}
