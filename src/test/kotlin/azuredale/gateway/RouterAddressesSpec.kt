package azuredale.gateway

import azuredale.identity.FailureDomain
import azuredale.peers.SimulatedExchange
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Load pattern: all requests of a team come to one router, which cannot keep up with them. */
class RouterAddressesSpec {
    private fun named(node: SimulatedExchange.Node, caller: AddressCaller = AddressCaller.UNKNOWN) =
        RouterAddresses(node.settings, node.exchange.peers, { true }, { node.isOverloaded }, { node.spareQuarters })
            .addresses(caller)
            .first

    private val callers = List(200) { AddressCaller("10.9.0.$it", "name", FailureDomain("domain-${it % 4}")) }

    /** All routers that [node] names to any caller. */
    private fun namedToAny(node: SimulatedExchange.Node) = callers.flatMap { named(node, it) }.toSet()

    @Nested
    inner class Sizes {
        private fun weight(index: Int) = if (index % 4 == 0) 2.0 else 0.27

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
            val named = namedToAny(fleet.nodes[1])
            assertEquals(32, named.size)
            large.take(8).forEach { assertFalse(it.address in named, it.router.name) }
            callers.forEach { assertTrue(named(fleet.nodes[1], it).size >= 8) }
        }

        @Test
        fun `small routers are named when the larger ones would get more than their size deserves`() {
            // Guards against two large routers that get the callers of sixteen.
            val fleet = SimulatedExchange(routers = 16, domains = 4) { if (it < 2) 1.5 else 0.25 }
            fleet.run(4_000)
            assertEquals(16, namedToAny(fleet.nodes[3]).size)
        }

        @Test
        fun `every router of a large fleet is named to some callers, whichever router answers`() {
            // Guards against routers that only they themselves name, because an answer has room for 64.
            val fleet = SimulatedExchange(routers = 128, domains = 3) { if (it < 6) 1.5 else 0.252 }
            fleet.run(6_000)
            val all = fleet.nodes.map { it.address }.toSet()
            listOf(0, 60, 127).forEach { assertEquals(all, namedToAny(fleet.nodes[it])) }
        }

        @Test
        fun `all routers tell a caller the same`() {
            // Guards against callers that close connections because another router answered them.
            val fleet = SimulatedExchange(routers = 128, domains = 3) { if (it < 6) 1.5 else 0.252 }
            fleet.run(6_000)
            val first = named(fleet.nodes[0], callers[0]).toSet()
            fleet.nodes.forEach { assertEquals(first, named(it, callers[0]).toSet(), it.router.name) }
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
    inner class Crowd {
        private fun fleet() = SimulatedExchange(routers = 16, domains = 3) { if (it < 2) 1.5 else 0.25 }

        @Test
        fun `callers of a crowded router are sent to many others`() {
            // Guards against three callers of one team that keep to two of sixteen routers, or move to a third one.
            val fleet = fleet()
            fleet.run(4_000)
            val crowded = fleet.nodes[7]
            val moved = callers.filter { crowded.address in named(fleet.nodes[0], it) }
            val before = moved.associateWith { named(fleet.nodes[0], it).toSet() }
            crowded.spareQuarters = 0
            fleet.run(1_500)
            fleet.nodes.forEach { assertFalse(crowded.address in namedToAny(it), it.router.name) }
            val entered = moved.flatMap { named(fleet.nodes[0], it) - before.getValue(it) }
            val most =
                entered
                    .groupingBy { it }
                    .eachCount()
                    .values
                    .max()
            assertTrue(entered.distinct().size >= 8, "${entered.distinct().size} routers")
            assertTrue(most <= moved.size / 3, "$most of ${moved.size} callers at one router")
        }

        @Test
        fun `no more routers are left out than the others can bear`() {
            // Guards against a wave that crowds one failure domain after the other until a few routers get all callers.
            val fleet = fleet()
            fleet.nodes.forEachIndexed { index, node -> node.spareQuarters = if (index % 3 == 0) 0 else 1 }
            fleet.run(4_000)
            val named = namedToAny(fleet.nodes[1])
            val weight = fleet.nodes.filter { it.address in named }.sumOf { it.settings.weight }
            assertTrue(weight > 0.7 * fleet.nodes.sumOf { it.settings.weight }, "$weight")
            fleet.nodes.forEach { assertEquals(named, namedToAny(it), it.router.name) }
        }

        @Test
        fun `half of the routers are lost while others are crowded`() {
            // Guards against answers that name lost routers or hardly any others.
            val fleet = fleet()
            fleet.run(4_000)
            fleet.cut += fleet.nodes.filterIndexed { index, _ -> index % 2 == 1 }
            fleet.nodes[4].spareQuarters = 0
            fleet.nodes[6].spareQuarters = 0
            fleet.run(6_000)
            val lost = fleet.cut.map { it.address }.toSet()
            callers.forEach { caller ->
                val named = named(fleet.nodes[0], caller)
                assertEquals(emptyList(), named.filter { it in lost })
                assertTrue(named.size >= 6, "${named.size} addresses")
            }
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
