package azuredale.gateway

import azuredale.peers.SimulatedExchange
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Load pattern: all requests of a team come to one router, which cannot keep up with them. */
class RouterAddressesSpec {
    private fun named(node: SimulatedExchange.Node) =
        RouterAddresses(node.settings, node.exchange.peers, { true }, { node.isOverloaded }).addresses().first

    @Nested
    inner class Sizes {
        private fun weight(index: Int) = if (index % 4 == 0) 1.5 else 0.27

        @Test
        fun `small routers are left out while larger ones have enough capacity`() {
            // Guards against all callers of a large team that stay with the smallest VM of the fleet.
            val fleet = SimulatedExchange(routers = 40, domains = 4, ::weight)
            fleet.run(4_000)
            val large = fleet.nodes.filterIndexed { index, _ -> index % 4 == 0 }.map { it.address }
            fleet.nodes.forEach { assertEquals(large.toSet(), named(it).toSet(), it.router.name) }
        }

        @Test
        fun `small routers are named when the larger ones are lost or overloaded`() {
            // Guards against a fleet that names nobody, or only those that cannot keep up.
            val fleet = SimulatedExchange(routers = 40, domains = 4, ::weight)
            val large = fleet.nodes.filterIndexed { index, _ -> index % 4 == 0 }
            large.take(5).forEach { it.isOverloaded = true }
            fleet.cut += large.drop(5).take(3)
            fleet.run(9_000)
            val named = named(fleet.nodes[1])
            assertEquals(32, named.size)
            large.take(8).forEach { assertFalse(it.address in named, it.router.name) }
        }

        @Test
        fun `all routers of about the same size are named`() {
            // Guards against routers that have no callers although the fleet needs them.
            val fleet = SimulatedExchange(routers = 8, domains = 3) { 0.75 + it % 2 * 0.25 }
            fleet.run(2_000)
            fleet.nodes.forEach { assertEquals(8, named(it).size, it.router.name) }
        }
    }

    @Nested
    inner class Overload {
        @ParameterizedTest
        @ValueSource(ints = [8, 40])
        fun `an overloaded router is soon named by no router`(routers: Int) {
            // Guards against callers of a team that stay with a router which reads their requests too late.
            val fleet = SimulatedExchange(routers, domains = 4) { 1.0 }
            fleet.run(4_000)
            fleet.nodes[5].isOverloaded = true
            fleet.run(1_500)
            fleet.nodes.forEach { assertFalse(fleet.nodes[5].address in named(it), it.router.name) }
            assertEquals(routers - 1, named(fleet.nodes[5]).size)
            fleet.nodes[5].isOverloaded = false
            fleet.run(1_500)
            fleet.nodes.forEach { assertEquals(routers, named(it).size, it.router.name) }
        }

        @Test
        fun `all are named while most of the fleet is overloaded`() {
            // Guards against the few routers that keep up getting the callers of all others.
            val fleet = SimulatedExchange(routers = 8, domains = 4) { 1.0 }
            fleet.nodes.take(5).forEach { it.isOverloaded = true }
            fleet.run(1_500)
            fleet.nodes.forEach { assertEquals(8, named(it).size, it.router.name) }
        }
    }
}
