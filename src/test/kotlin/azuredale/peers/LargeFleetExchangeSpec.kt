package azuredale.peers

import azuredale.catalog.CatalogMark
import azuredale.engine.ServerLoad
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.TeamId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: reports between the routers of a fleet that has grown from eight to hundreds of routers. */
class LargeFleetExchangeSpec {
    private val oneRequest = ServerLoad(waitingTokens = 1_000, running = 1)

    @Nested
    inner class Cost {
        @ParameterizedTest
        @ValueSource(ints = [8, 30, 95, 200])
        fun `a router's mean traffic stays below nine kilobytes a second`(routers: Int) {
            // Guards against reports to every other router, whose number grows with the square of the fleet.
            val fleet = SimulatedExchange(routers, domains = 5)
            fleet.run(3_000)
            fleet.nodes.forEach { it.statistics.loads.add(fleet.servers[0].id, oneRequest) }
            fleet.nodes.forEach { it.sent = 0 }
            fleet.nodes.forEach { it.bytes = 0 }
            fleet.run(4_000)
            val limit = if (routers <= 12) MESH_DATAGRAMS else RELAYED_DATAGRAMS
            val mean = fleet.nodes.sumOf { it.sent } / 4.0 / routers
            assertTrue(mean < limit, "$mean datagrams per second")
            if (routers > 12) assertTrue(fleet.nodes.sumOf { it.bytes } / 4.0 / routers < CONTROL_BYTES)
        }
    }

    @Nested
    inner class Size {
        @ParameterizedTest
        @CsvSource("95, 60", "390, 2900")
        fun `a report of a busy fleet can be received`(routers: Int, teams: Int) {
            // Guards against reports of relays that grow with servers, teams and routers until nobody can receive them.
            val fleet = SimulatedExchange(routers, domains = 5)
            fleet.run(2_000)
            repeat(4) { round ->
                fleet.nodes.forEachIndexed { index, node ->
                    repeat(
                        10,
                    ) { node.usage.recordRequested(TeamId("team-${(index * 10 + it) % teams}"), 9_000, fleet.now) }
                    fleet.servers.forEach { server ->
                        node.statistics.loads.add(server.id, oneRequest)
                        val part = PromptPart("a1b2c3d4e5f6$index$round", 5_000)
                        node.exchange.promptSent(server.idHash, listOf(part), fleet.now)
                    }
                }
                fleet.run(700)
            }
            assertTrue(fleet.largestDatagram > 2_048, "reports are not large: ${fleet.largestDatagram} bytes")
            assertTrue(fleet.largestDatagram <= 16_384, "${fleet.largestDatagram} bytes")
        }
    }

    @Nested
    inner class Sums {
        @Test
        fun `every router sees the load of all routers once`() {
            // Guards against a load that is counted twice or not at all when it is added up on its way.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            fleet.nodes.forEach { it.statistics.loads.add(fleet.servers[3].id, oneRequest) }
            fleet.run(1_500)
            fleet.nodes.forEach { node ->
                assertEquals(ServerLoad(40_000, 40), fleet.loadSeenBy(node, 3), node.router.name)
            }
        }

        @Test
        fun `a router's own load counts at once`() {
            // Guards against a router that sends a burst to one server while its relay still reports the server idle.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            val node = fleet.nodes[7]
            repeat(5) { node.statistics.loads.add(fleet.servers[3].id, oneRequest) }
            assertEquals(ServerLoad(5_000, 5), fleet.loadSeenBy(node, 3))
            fleet.run(1_000)
            repeat(5) { node.statistics.loads.add(fleet.servers[3].id, ServerLoad(-1_000, -1)) }
            assertEquals(ServerLoad.NONE, fleet.loadSeenBy(node, 3))
        }

        @Test
        fun `usage of a team adds up over the fleet`() {
            // Guards against fair shares computed from the usage of a single failure domain.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            fleet.nodes.forEach { it.usage.recordRequested(TeamId("team"), 100, fleet.now) }
            fleet.run(1_500)
            fleet.nodes.forEach { node ->
                val seen =
                    node.usage
                        .fleetUsage(fleet.now)
                        .values
                        .sumOf { it.requested }
                assertEquals(4_000, seen, node.router.name)
            }
        }

        @Test
        fun `prompt parts read by a server become known in all failure domains`() {
            // Guards against shared parts that are read again because only one failure domain knows their holder.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            val part = PromptPart("aa", 500)
            fleet.nodes[5].exchange.promptSent(fleet.servers[2].idHash, listOf(part), fleet.now)
            fleet.run(1_000)
            val prompt = PromptShape(listOf(part, PromptPart("own", 10)), 510, 10)
            val unaware =
                fleet.nodes.filter { it.statistics.cache.cachedTokens(fleet.servers[2].id, prompt) == 0 }
            assertEquals(emptyList(), unaware.map { it.router.name })
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `all routers know each other shortly after the fleet has started`() {
            // Guards against address answers that leave out most routers of a fleet that starts at once.
            val fleet = SimulatedExchange(routers = 95, domains = 5)
            fleet.run(CATCH_UP_MILLISECONDS)
            fleet.nodes.forEach { assertEquals(94, it.exchange.peers.alive.size, it.router.name) }
        }

        @Test
        fun `the loss of every relay costs about a second of older loads`() {
            // Guards against a fleet whose routers see no loads after the routers that add them up are lost.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            fleet.cut += fleet.nodes.filter { it.exchange.isRelay }
            assertEquals(4, fleet.cut.size)
            fleet.run(2_000)
            val left = fleet.nodes - fleet.cut
            left.forEach { it.statistics.loads.add(fleet.servers[3].id, oneRequest) }
            fleet.run(1_500)
            left.forEach { assertEquals(left.size, fleet.loadSeenBy(it, 3).running, it.router.name) }
        }

        @Test
        fun `a silent router leaves the address answers and comes back`() {
            // Guards against a failure domain that stays unknown to the others after a partition.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            val lost = fleet.nodes.filterIndexed { index, _ -> index % 4 == 1 }
            fleet.cut += lost
            fleet.run(8_000)
            (fleet.nodes - lost).forEach { assertEquals(29, it.exchange.peers.alive.size, it.router.name) }
            fleet.cut -= lost
            fleet.run(4_000)
            fleet.nodes.forEach { assertEquals(39, it.exchange.peers.alive.size, it.router.name) }
        }

        @Test
        fun `a proof of freshness reaches every router within a second`() {
            // Guards against a large fleet in which every router has to read the store itself.
            val fleet = SimulatedExchange(routers = 95, domains = 5)
            fleet.run(3_000)
            val first = fleet.nodes.single { it.exchange.rank() == 0 }
            val provenAt = fleet.now
            first.view.confirmCatalog(CatalogMark.NONE, provenAt)
            first.exchange.proofRenewed(provenAt)
            fleet.run(1_000)
            val late = fleet.nodes.filter { it.view.catalogProof.at < provenAt.plusMilliseconds(-250) }
            assertEquals(emptyList(), late.map { it.router.name })
        }
    }

    @Nested
    inner class Fuzz {
        @ParameterizedTest
        @ValueSource(longs = [1, 2, 3, 4])
        fun `a malformed datagram is refused and changes nothing for the others`(seed: Long) {
            // Guards against one malformed message that ends a process or its exchange.
            val random = Random(seed)
            val fleet = SimulatedExchange(routers = 20, domains = 4)
            fleet.recordsDatagrams = true
            fleet.run(1_000)
            val sound = fleet.recorded.toList()
            val node = fleet.nodes[0]
            repeat(3_000) {
                val bytes = sound[random.nextInt(sound.size)].copyOf()
                repeat(1 + random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                val length = if (random.nextInt(4) == 0) random.nextInt(bytes.size + 1) else bytes.size
                node.exchange.received(node.address, bytes.copyOf(length), fleet.now)
                node.exchange.tick(fleet.now)
            }
            assertTrue(node.exchange.peers.all.size < 1_100)
        }
    }

    private companion object {
        /** Mean bytes a second for control from the users' design size. */
        const val CONTROL_BYTES = 9_000.0

        /** The users' bound for catching up at this size, 6 s. */
        const val CATCH_UP_MILLISECONDS = 6_000L
        const val MESH_DATAGRAMS = 200.0
        const val RELAYED_DATAGRAMS = 20.0
    }
}
