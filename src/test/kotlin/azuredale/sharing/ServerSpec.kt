package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.configuration.ServerState
import azuredale.identity.FailureDomain
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ServerSpec {
    private val now = Timestamp(0)

    private fun report(running: Int, waiting: Int, millisecond: Long, speed: Double = 100.0) = LoadReport(
        ServerId("s"),
        FailureDomain("a"),
        running,
        waiting,
        speed,
        now.plusMilliseconds(millisecond),
    )

    @Nested
    inner class Limit {
        @Test
        fun `stays between one and the slots under random reports`() {
            // Guards against a limit above the document's slots, or one that blocks a server permanently.
            repeat(20) { seed ->
                val random = Random(seed)
                val limit = ServerLimit(8, lookAhead = 1)
                repeat(200) { step ->
                    if (random.nextInt(20) == 0) limit.resize(random.nextInt(1, 10))
                    val sample = report(random.nextInt(20), random.nextInt(20), step.toLong(), random.nextDouble(1e3))
                    limit.reported(sample, random.nextInt(10), sample.observedAt)
                    assertTrue(limit.limit in 1..limit.slots, "seed $seed: ${limit.limit} of ${limit.slots}")
                }
            }
        }

        @Test
        fun `falls to what the server runs and rises again`() {
            // Guards against queueing inside a server, and against a limit that stays low after a short overload.
            val limit = ServerLimit(8, lookAhead = 1)
            limit.reported(report(3, 5, 1), 8, now)
            assertEquals(4, limit.limit)
            (2L..6L).forEach { limit.reported(report(3, 0, it), 3, now) }
            assertEquals(8, limit.limit)
        }

        @Test
        fun `accounts for requests of another allotter that several reports show`() {
            // Guards against overcommitment while a network partition has two allotters.
            val limit = ServerLimit(8, lookAhead = 1)
            (1L..3L).forEach { limit.reported(report(7, 0, it), 2, now) }
            assertEquals(1, limit.free(2, now))
            assertEquals(6, limit.free(2, now.plusSeconds(60)))
        }
    }

    @Nested
    inner class Health {
        private val health = ServerHealth()
        private val routers = listOf(RouterId("r1"), RouterId("r2"))

        @Test
        fun `ejects after failures seen by two routers and probes with one request`() {
            // Guards against sending work to a dead server, and against never using a recovered one again.
            repeat(3) { health.failed(routers[it % 2], now) }
            assertEquals(0, health.maximumInFlight(now.plusMilliseconds(900)))
            val probe = now.plusMilliseconds(1_100)
            assertEquals(1, health.maximumInFlight(probe))
            health.failed(routers[0], probe)
            assertEquals(0, health.maximumInFlight(probe.plusMilliseconds(1_900)), "the second ejection lasts longer")
            assertTrue(health.succeeded())
            assertEquals(Int.MAX_VALUE, health.maximumInFlight(probe))
        }

        @Test
        fun `needs more failures from one router alone`() {
            // Guards against a router with network failure that ejects servers for the whole fleet.
            repeat(4) { health.failed(routers[0], now) }
            assertFalse(health.isEjected)
            assertTrue(health.failed(routers[0], now))
        }
    }

    @Nested
    inner class Selection {
        private val prefixes = PrefixIndex(maximumPrefixes = 2)
        private val selection = ServerSelection(prefixes)
        private val rows =
            listOf("slow", "fast", "far").map { name ->
                val domain = FailureDomain(if (name == "far") "b" else "a")
                ServerRow(ServerId(name), ShardId(testPool), domain, slots = 4, lookAhead = 1)
            }
        private val document = testDocument(mapOf("t" to 1.0), rows.map { testServer(it.id.name, 4) })

        private fun choose(document: azuredale.configuration.Document = this.document, prefix: Long? = null) =
            selection.choose(rows, document, Requirement(testPool), prefix, FailureDomain("a"), now)?.id?.name

        private fun speeds(vararg speed: Double) = rows.zip(speed.toList()).forEach { (row, value) ->
            row.limit.reported(report(1, 0, 1, value), 0, now)
        }

        @Test
        fun `weighs speed, cached prefix and failure domain`() {
            // Guards against a selection that ignores one of these factors.
            speeds(50.0, 100.0, 100.0)
            assertEquals("fast", choose())
            prefixes.apply(CacheEvent(ServerId("far"), 7, isEvicted = false))
            assertEquals("far", choose(prefix = 7))
            prefixes.apply(CacheEvent(ServerId("far"), 7, isEvicted = true))
            assertEquals("fast", choose(prefix = 7))
            repeat(3) { rows[1].occupy() }
            assertEquals("far", choose())
        }

        @Test
        fun `never selects a server that is leaving`() {
            // Guards against sending new work to a leaving server.
            val leaving = document.servers.mapValues { (_, server) -> server.copy(state = ServerState.LEAVING) }
            assertEquals(null, choose(document.copy(servers = leaving)))
        }

        @Test
        fun `keeps the prefix index bounded`() {
            // Guards against unbounded memory growth with the number of distinct prompts.
            (1L..50L).forEach { prefixes.stored(it, ServerId("fast")) }
            assertEquals(2, prefixes.size)
        }
    }
}
