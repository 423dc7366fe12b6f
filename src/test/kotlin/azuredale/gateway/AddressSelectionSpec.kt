package azuredale.gateway

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: hundreds of callers of a fleet of 128 routers, six of which have six times the size of the others. */
class AddressSelectionSpec {
    private val routers =
        List(ROUTERS) { index ->
            val address = NetworkAddress("10.0.0.$index", 7_000)
            AddressCandidate(RouterId("router-$index"), address, if (index < LARGE_ROUTERS) 1.5 else 0.252)
        }
    private val callers =
        List(CALLERS) { AddressCaller("10.9.${it / 200}.${it % 200}", "name", FailureDomain("domain-${it % 3}")) }

    /** Load of each router if every caller sends as much and chooses among its addresses with equal probability. */
    private fun loads(candidates: List<AddressCandidate>): Map<NetworkAddress, Double> {
        val loads = HashMap<NetworkAddress, Double>()
        callers.forEach { caller ->
            val named = AddressSelection.select(candidates, caller)
            named.forEach { loads.merge(it, 1.0 / named.size, Double::plus) }
        }
        return loads
    }

    private fun assertProportional(candidates: List<AddressCandidate>) {
        val loads = loads(candidates)
        val capacity = candidates.sumOf { it.capacity }
        candidates.forEach {
            val part = (loads[it.address] ?: 0.0) / callers.size / (it.capacity / capacity)
            assertTrue(part in SMALLEST_PART..LARGEST_PART, "${it.router}: $part times what its size deserves")
        }
    }

    @Nested
    inner class Proportion {
        @Test
        fun `each router gets what its size deserves`() {
            // Guards against an answer that names the first 64 routers only, so that half of the fleet has no callers.
            assertProportional(routers)
        }

        @Test
        fun `half of the fleet gets what its size deserves when the other half is lost`() {
            // Guards against callers that all move to the same few routers.
            assertProportional(routers.filterIndexed { index, _ -> index % 2 == 0 })
        }

        @Test
        fun `an answer names enough routers to survive the loss of some`() {
            callers.forEach {
                val named = AddressSelection.select(routers, it)
                assertEquals(named.distinct(), named)
                assertTrue(named.size in 8..64, "${named.size} addresses")
            }
        }
    }

    @Nested
    inner class Stability {
        @Test
        fun `an answer changes only by the router that leaves`() {
            // Guards against callers that close all their connections whenever any router starts or ends.
            val left = routers - routers[40]
            callers.forEach { caller ->
                val before = AddressSelection.select(routers, caller)
                val after = AddressSelection.select(left, caller)
                assertEquals(before - routers[40].address, before.filter { it in after })
            }
        }

        @Test
        fun `a router with less spare capacity leaves only some of the answers that name it`() {
            // Guards against all callers of a busy router moving to others at the same time.
            val busy = routers[40]
            val changed = routers - busy + AddressCandidate(busy.router, busy.address, busy.capacity / 2)
            val before = callers.count { busy.address in AddressSelection.select(routers, it) }
            val after = callers.count { busy.address in AddressSelection.select(changed, it) }
            assertTrue(after in before / 4..before * 3 / 4, "$after of $before callers")
        }
    }

    private companion object {
        const val ROUTERS = 128
        const val LARGE_ROUTERS = 6
        const val CALLERS = 280

        /** Bounds of the load of a router, relative to what the size of its VM deserves. */
        const val LARGEST_PART = 1.5
        const val SMALLEST_PART = 0.4
    }
}
