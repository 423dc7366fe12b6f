package azuredale.peers

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: routers of a large fleet end, and with them one after the other those that pass on who is alive. */
class RelayLossSpec {
    @Nested
    inner class LostRouters {
        @ParameterizedTest
        @CsvSource("40, 4", "128, 3", "200, 3")
        fun `no router regards one as alive for longer than the bound`(routers: Int, domains: Int) {
            // Guards against ages that are added up wrongly on their way through relays that are lost themselves.
            val fleet = SimulatedExchange(routers, domains)
            fleet.run(START_MILLISECONDS)
            val lost = fleet.nodes.filterIndexed { index, _ -> index % 5 == 1 && !fleet.nodes[index].exchange.isRelay }
            fleet.cut += lost
            repeat(4) {
                fleet.run(BOUND_MILLISECONDS / 4)
                val relay = fleet.nodes.first { it !in fleet.cut && it.exchange.isRelay }
                if (it < 3) fleet.cut += relay
            }
            val names = lost.map { it.router }.toSet()
            (fleet.nodes - fleet.cut).forEach { node ->
                val named =
                    node.exchange.peers.alive
                        .filter { it.router in names }
                assertEquals(emptyList(), named.map { it.router.name }, node.router.name)
            }
        }

        @ParameterizedTest
        @ValueSource(ints = [40, 128])
        fun `a router that reads its relay's reports late does not regard a lost one as alive`(routers: Int) {
            // Guards against ages that leave out the time for which a report waited to be read.
            val fleet = SimulatedExchange(routers, domains = 3)
            fleet.run(START_MILLISECONDS)
            val lost = fleet.nodes.first { !it.exchange.isRelay && it.settings.weight < 1 }
            val slow = fleet.nodes.last { !it.exchange.isRelay }
            fleet.cut += lost
            fleet.delayed[slow] = 2_500
            fleet.run(BOUND_MILLISECONDS)
            assertEquals(
                emptyList(),
                slow.exchange.peers.alive
                    .filter { it.router == lost.router },
            )
        }
    }

    @Nested
    inner class LiveRouters {
        @ParameterizedTest
        @CsvSource("40, 4", "128, 3", "200, 3")
        fun `no router regards a running one as silent`(routers: Int, domains: Int) {
            // Guards against address answers from which running routers drop out and return, with all their callers.
            val fleet = SimulatedExchange(routers, domains)
            val random = Random(1)
            fleet.isLost = { random.nextInt(LOST_ONE_IN) == 0 }
            fleet.run(START_MILLISECONDS)
            repeat(40) {
                fleet.run(250)
                val missing = fleet.nodes.sumOf { routers - 1 - it.exchange.peers.alive.size }
                assertTrue(missing == 0, "$missing pairs of routers after ${it * 250} ms")
            }
        }

        @ParameterizedTest
        @CsvSource("8, 500", "8, 1500", "17, 1500", "40, 800", "40, 2500", "128, 1500")
        fun `a router that stood still regards no running one as silent, and tells none so`(routers: Int, pause: Long) {
            // Guards against address answers of a crowded small VM that name itself only.
            val fleet = SimulatedExchange(routers, domains = 3)
            fleet.run(START_MILLISECONDS)
            val still = listOf(fleet.nodes.first { it.exchange.isRelay || routers == 8 }, fleet.nodes.last())
            fleet.paused += still
            fleet.run(pause)
            still.forEach(fleet::resume)
            repeat(60) {
                val silent =
                    fleet.nodes.associateWith { node ->
                        node.exchange.peers.all
                            .filter { !it.isAlive }
                    }
                silent.forEach { (node, others) ->
                    val running = others.map { it.router } - still.map { it.router }.toSet()
                    assertEquals(emptyList(), running.map { it.name }, "${node.router.name} after ${it * 50} ms")
                }
                fleet.run(50)
            }
        }

        @Test
        fun `a router that is always late regards a lost one as silent within the bound`() {
            // Guards against a router that never notices a loss because it never keeps up.
            val fleet = SimulatedExchange(routers = 8, domains = 3)
            fleet.run(START_MILLISECONDS)
            val late = fleet.nodes.first()
            val lost = fleet.nodes.last()
            fleet.cut += lost
            repeat(BOUND_MILLISECONDS.toInt() / 300) {
                fleet.paused += late
                fleet.run(300)
                fleet.resume(late)
            }
            assertEquals(
                false,
                late.exchange.peers
                    .find(lost.router)
                    ?.isAlive,
            )
        }
    }

    private companion object {
        const val START_MILLISECONDS = 6_000L

        /** The users' bound for address answers at the shortest time of contact, 3 s, is 6 s. */
        const val BOUND_MILLISECONDS = 6_000L

        /** Datagrams of which one is lost. */
        const val LOST_ONE_IN = 50
    }
}
