package azuredale.sharing

import azuredale.identity.TeamId
import azuredale.protocol.Demand
import azuredale.protocol.Grant
import azuredale.protocol.Settle
import azuredale.protocol.Withdraw
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FloodSpec {
    private val document = testDocument(mapOf("flood" to 1.0, "small" to 1.0), listOf(testServer("s1", 4)))
    private val settings = SharingSettings()

    @Nested
    inner class OneTeam {
        @Test
        fun `costs the allotter a bounded number of rows and messages and does not delay others`() {
            // Guards against memory and traffic that grow with the number of requests of one team.
            val fleet = SharingFleet(document, routerCount = 5)
            fleet.run(1_000)
            fleet.sent.clear()
            var rows = 0
            var waits = 0L
            repeat(100) { round ->
                fleet.routers.forEach { router ->
                    repeat(500) { router.submit(SharingFleet.Work(TeamId("flood"), 10.0)) }
                }
                if (round % 10 == 5) {
                    fleet.routers[2].submit(SharingFleet.Work(TeamId("small"), 10.0))
                    val since = fleet.now
                    while ((fleet.waiting[TeamId("small")] ?: 0) > 0) fleet.run(1)
                    waits = maxOf(waits, fleet.now.microsecondsSince(since))
                }
                fleet.run(100) {
                    val shard =
                        fleet
                            .allotter()
                            .allotter
                            .snapshot()
                            .shards
                            .single()
                    rows = maxOf(rows, shard.offers)
                }
            }
            val messages = fleet.sent.count { it.second is Demand || it.second is Grant || it.second is Settle }
            println("rows $rows, messages $messages for ${fleet.granted.size} grants, longest wait $waits us")
            assertTrue(rows <= 5 * settings.offersPerTeam, "$rows rows")
            assertTrue(messages <= 4 * fleet.granted.size + 100, "$messages messages for ${fleet.granted.size} grants")
            assertTrue(waits <= 110_000, "the small team waited $waits us, longer than a request runs")
        }
    }

    @Nested
    inner class LostMessages {
        @Test
        fun `are repaired without a connection event`() {
            // Guards against slots and requests that leak when a single message is lost.
            val fleet = SharingFleet(document, routerCount = 3)
            fleet.run(1_000)
            var dropped = 0
            fleet.drops = { message ->
                val isLost = (message is Grant || message is Settle || message is Demand || message is Withdraw)
                isLost && dropped++ % 3 == 0 && dropped < 60
            }
            fleet.routers.forEach { router -> repeat(20) { router.submit(SharingFleet.Work(TeamId("small"), 10.0)) } }
            fleet.run(300_000)
            assertEquals(60, fleet.granted.size)
            assertEquals(
                0,
                fleet
                    .allotter()
                    .allotter
                    .snapshot()
                    .shards
                    .single()
                    .grants.size,
            )
        }
    }
}
