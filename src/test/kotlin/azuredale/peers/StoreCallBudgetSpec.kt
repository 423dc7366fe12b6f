package azuredale.peers

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: a fleet that starts at once, before its servers and its configuration, and then sees changes. */
class StoreCallBudgetSpec {
    /** Store and routers that start within 1.5 s, while the servers register and the configuration is not there yet. */
    private class Start(routers: Int) {
        val fleet = SimulatedExchange.starting(routers, domains = 5)
        val store = SimulatedStore(fleet)

        fun run(without: SimulatedExchange.Node? = null) {
            val starts = fleet.nodes.indices.groupBy { it * START_MILLISECONDS / fleet.nodes.size }
            repeat(BEFORE_TRAFFIC_MILLISECONDS) { millisecond ->
                starts[millisecond]?.map { fleet.nodes[it] }?.filter { it !== without }?.forEach(store::start)
                if (millisecond % SERVER_MILLISECONDS == 0) {
                    fleet.servers.getOrNull(millisecond / SERVER_MILLISECONDS)?.let(store::put)
                }
                store.run(1)
            }
            store.writeCatalog()
            store.run(1_000)
        }

        /** Changes of one server's registration at a time, and of the catalog every fifth time. */
        fun change(times: Int) = repeat(times) { index ->
            val server = fleet.servers[index % fleet.servers.size]
            if (index % 2 == 0) store.remove(server) else store.put(fleet.servers[index - 1])
            if (index % 5 == 4) store.writeCatalog()
            store.run(1_000)
        }
    }

    @Nested
    inner class Budget {
        @ParameterizedTest
        @ValueSource(ints = [76, 128])
        fun `a fleet without changes calls the store a few times a second, whatever its size`(routers: Int) {
            // Guards against a schedule in which every router confirms its tables itself.
            val start = Start(routers)
            start.run()
            assertEquals(emptyList(), start.store.outdated().map { it.router.name })
            assertTrue(start.fleet.nodes.all(start.store::hasCatalog))
            start.store.calls.clear()
            start.store.run(10_000)
            assertTrue(
                start.store.calls.values
                    .sum() < 60,
                "${start.store.calls}",
            )
        }

        @ParameterizedTest
        @ValueSource(ints = [76, 128])
        fun `a change of a registration does not make every router read the store`(routers: Int) {
            // Guards against a fleet that pays a call a router for each server that comes or goes.
            val start = Start(routers)
            start.run()
            start.store.calls.clear()
            start.change(10)
            assertEquals(emptyList(), start.store.outdated().map { it.router.name })
            assertTrue(start.store.calls.getValue(SimulatedStore.Call.DIRECTORY) < routers, "${start.store.calls}")
        }
    }

    @Nested
    inner class Starting {
        @ParameterizedTest
        @ValueSource(ints = [76, 128])
        fun `a fleet that starts at once makes a few calls a router`(routers: Int) {
            // Guards against routers that each read tables which are still empty, and each change of them.
            val start = Start(routers)
            start.run()
            assertTrue(
                start.store.calls.values
                    .sum() < CALLS_OF_A_START * routers,
                "${start.store.calls}",
            )
        }

        @Test
        fun `a router that starts again in a running fleet has caught up within a second`() {
            // Guards against a router that waits for others although it has to read the tables itself.
            val start = Start(76)
            val node = start.fleet.nodes.last()
            start.run(without = node)
            start.store.start(node)
            start.store.run(1_000)
            assertTrue(start.store.hasCatalog(node) && node.quarantine.isKnown)
            assertEquals(emptyList(), start.store.outdated().map { it.router.name })
        }

        @Test
        fun `a router that starts alone reads as soon as it is registered`() {
            // Guards against a small fleet that waits for routers which do not exist.
            val fleet = SimulatedExchange.starting(3, domains = 3)
            val store = SimulatedStore(fleet)
            store.writeCatalog()
            store.start(fleet.nodes[0])
            store.run(100)
            assertTrue(store.hasCatalog(fleet.nodes[0]))
        }
    }

    @Nested
    inner class Faults {
        private val start = Start(76).also { it.run() }
        private val fleet = start.fleet

        private fun assertChangeArrives(within: Int) {
            start.store.remove(fleet.servers[3])
            start.store.run(within)
            assertEquals(emptyList(), start.store.outdated().map { it.router.name })
        }

        @Test
        fun `the first readers are killed`() {
            // Guards against a fleet that waits for changes from routers that are gone.
            fleet.cut += fleet.nodes.filter { it.exchange.rank() < 3 }
            assertChangeArrives(DRAIN_MILLISECONDS)
        }

        @Test
        fun `all relays are killed`() {
            // Guards against routers that nobody passes changes on to.
            fleet.cut += fleet.nodes.filter { it.exchange.isRelay }
            assertChangeArrives(DRAIN_MILLISECONDS)
        }

        @Test
        fun `the store is silent to a third of the routers, the first readers among them`() {
            // Guards against a change that stays with the routers that the store answers.
            start.store.silentTo += fleet.nodes.sortedBy { it.exchange.rank() }.take(25)
            assertChangeArrives(DRAIN_MILLISECONDS)
        }

        @Test
        fun `a configuration reaches the routers that the store answers`() {
            // Guards against routers that wait for the configuration from readers that are gone or hear no answer.
            fleet.cut += fleet.nodes.filter { it.exchange.isRelay }
            start.store.silentTo += (fleet.nodes - fleet.cut).sortedBy { it.exchange.rank() }.take(25)
            start.store.writeCatalog()
            start.store.run(CONFIGURATION_MILLISECONDS)
            val late = (fleet.nodes - fleet.cut - start.store.silentTo).filterNot(start.store::hasCatalog)
            assertEquals(emptyList(), late.map { it.router.name })
        }

        @Test
        fun `a router that was cut off has missed changes`() {
            // Guards against a copy that changes no longer fit.
            val node = fleet.nodes.last()
            fleet.cut += node
            start.change(4)
            fleet.cut -= node
            start.store.run(DRAIN_MILLISECONDS)
            assertEquals(emptyList(), start.store.outdated().map { it.router.name })
        }
    }

    private companion object {
        const val START_MILLISECONDS = 1_500
        const val SERVER_MILLISECONDS = 80

        /** The users' bound on new requests to a server that leaves. */
        const val DRAIN_MILLISECONDS = 2_000

        /** The users' shortest bound on configurations. */
        const val CONFIGURATION_MILLISECONDS = 2_000

        /** Three to register, one for the first configuration, and a share of what few routers read for all. */
        const val CALLS_OF_A_START = 6
        const val BEFORE_TRAFFIC_MILLISECONDS = 5_000
    }
}
