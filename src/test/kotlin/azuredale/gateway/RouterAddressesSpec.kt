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
    inner class Overload {
        @ParameterizedTest
        @ValueSource(ints = [8, 40])
        fun `an overloaded router is soon named by no router`(routers: Int) {
            // Guards against callers of a team that stay with a router which reads their requests too late.
            val fleet = SimulatedExchange(routers, domains = 4)
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
        fun `all are named while half of the fleet is overloaded`() {
            // Guards against the few routers that keep up getting the callers of all others.
            val fleet = SimulatedExchange(routers = 8, domains = 4)
            fleet.nodes.take(4).forEach { it.isOverloaded = true }
            fleet.run(1_500)
            fleet.nodes.forEach { assertEquals(8, named(it).size, it.router.name) }
        }
    }
}
