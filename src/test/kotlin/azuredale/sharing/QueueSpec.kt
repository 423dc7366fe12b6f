package azuredale.sharing

import azuredale.configuration.Document
import azuredale.configuration.ModelVersionEntry
import azuredale.configuration.ServerState
import azuredale.identity.ModelVersion
import azuredale.identity.Region
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Outcome
import azuredale.protocol.Grant
import azuredale.protocol.Settle
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class QueueSpec {
    private val team = TeamId("a")
    private val shares = mapOf("a" to 1.0, "b" to 1.0)
    private val document = testDocument(shares, listOf(testServer("s1", 1)))

    private fun fleet(document: Document = this.document) =
        SharingFleet(document, routerCount = 3).also { it.run(1_000) }

    private fun busy(fleet: SharingFleet): SharingFleet.Router = fleet.routers[1].also { router ->
        router.submit(SharingFleet.Work(team, cost = 1_000.0))
        fleet.run(50)
    }

    @Nested
    inner class Bounds {
        @Test
        fun `refuse requests beyond the team's limit with a retry time and leave room for others`() {
            // Guards against a flood that exhausts memory or the queue capacity of other teams.
            val fleet = fleet()
            val router = busy(fleet)
            repeat(256) { assertIs<Outcome.Success<*>>(router.submit(SharingFleet.Work(team, 1.0))) }
            val failure = assertIs<Outcome.Refused>(router.submit(SharingFleet.Work(team, 1.0))).failure
            assertEquals(ErrorKind.QUEUE_FULL, failure.kind)
            assertTrue(failure.retryAt!! > fleet.now)
            assertIs<Outcome.Success<*>>(router.submit(SharingFleet.Work(TeamId("b"), 1.0)))
        }

        @Test
        fun `end a wait at its deadline without a grant`() {
            // Guards against running requests whose caller has given up.
            val fleet = fleet()
            busy(fleet).submit(SharingFleet.Work(team, 1.0), deadline = fleet.now.plusMilliseconds(500))
            fleet.run(2_000)
            assertEquals(listOf(ErrorKind.DEADLINE_BEFORE_START), fleet.failures.map { it.kind })
            assertEquals(
                0,
                fleet
                    .allotter()
                    .allotter
                    .snapshot()
                    .shards
                    .single()
                    .teams
                    .sumOf { it.waiting },
            )
        }

        @Test
        fun `free the offer and the slot of a withdrawn request`() {
            // Guards against slots that stay occupied after a caller disconnects.
            val fleet = fleet()
            val router = busy(fleet)
            router.submit(SharingFleet.Work(team, 1.0))
            val running = fleet.running.keys.single()
            (router.work.keys + running).forEach { fleet.apply(router, router.requester.withdraw(it, fleet.now)) }
            fleet.run(50)
            val shard =
                fleet
                    .allotter()
                    .allotter
                    .snapshot()
                    .shards
                    .single()
            assertEquals(0, shard.grants.size + shard.teams.sumOf { it.waiting })
        }
    }

    @Nested
    inner class DocumentChecks {
        @Test
        fun `returns a grant while the document is not confirmed and one for an unknown request`() {
            // Guards against new work for a recalled server, granted by an allotter with an older document.
            val fleet = fleet()
            val router = busy(fleet)
            router.submit(SharingFleet.Work(team, 1.0))
            val number = router.work.keys.single()
            val shard =
                fleet
                    .allotter()
                    .allotter
                    .shards()
                    .single()
            val from = fleet.allotter().id
            router.mayGiveOutWork = false
            val effects = router.requester.messageReceived(from, Grant(shard, number, ServerId("s1")), fleet.now)
            assertEquals(Settle(shard, number, 0.0), fleet.messages(effects).single { it is Settle })
            router.mayGiveOutWork = true
            val unknown = Grant(shard, RequestNumber(77), ServerId("gone"))
            val returned = router.requester.messageReceived(from, unknown, fleet.now)
            assertEquals(listOf(Settle(shard, RequestNumber(77), 0.0)), fleet.messages(returned))
        }

        @Test
        fun `gives no grant without a confirmed document and continues afterwards`() {
            // Guards against grants by an isolated allotter, and against grants that do not resume afterwards.
            val fleet = fleet()
            fleet.routers.forEach { it.mayGiveOutWork = false }
            fleet.routers[1].submit(SharingFleet.Work(team, 1.0))
            fleet.run(1_000)
            assertEquals(0, fleet.granted.size)
            fleet.routers.forEach { it.mayGiveOutWork = true }
            fleet.run(200)
            assertEquals(1, fleet.granted.size)
        }

        @Test
        fun `refuses queued requests that a new document no longer allows and interrupts no running ones`() {
            // Guards against requests that wait for a removed server until their deadline.
            val fleet = fleet()
            busy(fleet).submit(SharingFleet.Work(team, 1.0))
            val leaving = document.servers.mapValues { (_, server) -> server.copy(state = ServerState.LEAVING) }
            fleet.updateDocument(document.copy(servers = leaving))
            fleet.run(200)
            assertEquals(listOf(ErrorKind.NO_ELIGIBLE_SERVER), fleet.failures.map { it.kind })
            assertEquals(1, fleet.running.size)
        }
    }

    @Nested
    inner class Reserve {
        @Test
        fun `uses a bounded part of the slots while no router may allot the shard`() {
            // Guards against idle capacity, and against servers overloaded by uncoordinated routers.
            val fleet = fleet(testDocument(shares, listOf(testServer("s1", 24))))
            fleet.routers.forEach { router ->
                fleet.setMembers(router, router.members.map { it.copy(region = Region("north")) })
                repeat(20) { router.submit(SharingFleet.Work(team, 1_000.0)) }
            }
            fleet.run(2_000)
            assertEquals(6, fleet.running.size, "expected a quarter of 24 slots")
        }
    }

    @Nested
    inner class Requirements {
        @Test
        fun `for a busy model do not block requests for an idle one`() {
            // Guards against head-of-line blocking by the first eight requests of a team.
            val models = listOf("x@1", "y@1").map(::ModelVersion)
            val servers = listOf(testServer("s1", 1, setOf(models[0])), testServer("s2", 1, setOf(models[1])))
            val entries = models.associateWith { ModelVersionEntry(it) }
            val fleet = fleet(testDocument(shares, servers).copy(modelVersions = entries))
            repeat(20) { fleet.routers[1].submit(SharingFleet.Work(team, 1_000.0, modelVersion = models[0])) }
            fleet.run(100)
            fleet.routers[1].submit(SharingFleet.Work(team, 1.0, modelVersion = models[1]))
            fleet.run(100)
            assertEquals(listOf("s1", "s2"), fleet.granted.map { it.second.name })
        }
    }
}
