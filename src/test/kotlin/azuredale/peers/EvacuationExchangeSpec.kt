package azuredale.peers

import azuredale.freshness.EvacuationTable
import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Failure pattern: one router reads that a domain is evacuated, and the others must know it without the store. */
class EvacuationExchangeSpec {
    private val domain = FailureDomain("domain-1")

    private fun fleet(routers: Int, bound: Long? = 5_000) =
        SimulatedExchange(routers, domains = 3, bounds = FleetBounds(evacuationBoundMilliseconds = bound))

    private fun SimulatedExchange.read(router: Int, revision: Long, domains: Set<FailureDomain>) {
        val node = nodes[router]
        node.view.evacuations.adopt(
            EvacuationTable(StorePoint(StoreEra.NONE, revision), domains),
            now,
            isSettled = true,
        )
        node.exchange.proofRenewed(now)
    }

    private fun SimulatedExchange.unaware() =
        (nodes - cut).filterNot { it.view.evacuations.isEvacuated(domain) }.map { it.router.name }

    @Nested
    inner class Table {
        @ParameterizedTest
        @ValueSource(ints = [8, 76, 128])
        fun `read by one router reaches all with a proof, and so does its end`(routers: Int) {
            // Guards against a router that sends to an evacuated domain because it does not read the store itself.
            val fleet = fleet(routers)
            fleet.run(3_000)
            fleet.read(router = 2, revision = 9, setOf(domain))
            fleet.run(1_000)
            assertEquals(emptyList(), fleet.unaware())
            val fresh = fleet.nodes.count { it.view.evacuations.isFresh(fleet.now.plusMilliseconds(3_400)) }
            assertEquals(routers, fresh)
            fleet.read(router = 2, revision = 10, emptySet())
            fleet.run(1_000)
            assertEquals(routers, fleet.unaware().size)
        }

        @Test
        fun `reaches all in time while the relay of a domain is lost`() {
            // Guards against a domain whose routers learn nothing until a new relay has been found.
            val fleet = fleet(76)
            fleet.run(3_000)
            fleet.cut += fleet.nodes.first { it.exchange.isRelay }
            val reader = fleet.nodes.indexOfFirst { it !in fleet.cut && !it.exchange.isRelay }
            fleet.read(reader, revision = 9, setOf(domain))
            fleet.run(3_000)
            assertEquals(emptyList(), fleet.unaware())
        }

        @Test
        fun `reaches a router that was cut off when the evacuation began`() {
            val fleet = fleet(76)
            fleet.run(3_000)
            fleet.cut += fleet.nodes[20]
            fleet.read(router = 2, revision = 9, setOf(domain))
            fleet.run(8_000)
            fleet.cut.clear()
            fleet.run(1_500)
            assertEquals(emptyList(), fleet.unaware())
        }

        @Test
        fun `is not passed on where operators evacuate no domains`() {
            val fleet = fleet(8, bound = null)
            fleet.run(1_000)
            fleet.read(router = 2, revision = 9, setOf(domain))
            fleet.run(1_000)
            assertEquals(8, fleet.unaware().size)
        }
    }
}
