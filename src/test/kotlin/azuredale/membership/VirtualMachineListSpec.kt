package azuredale.membership

import azuredale.identity.NetworkAddress
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class VirtualMachineListSpec {
    private val seed = 23
    private val fleet = SimulatedFleet(seed)
    private val isolated get() = fleet.node(0)

    /** Isolates node 0 until it has considered all other nodes dead for longer than the list may be outdated. */
    private fun isolateNode() {
        fleet.startAll(NODES)
        fleet.run(20_000) { fleet.isConverged() }
        fleet.isConnected = { from, to -> (from.address == isolated.address) == (to.address == isolated.address) }
        fleet.run(60_000)
        assertEquals(1, isolated.liveRouters().size, "seed $seed")
    }

    private fun list(machines: Set<NetworkAddress>) {
        fleet.perform(isolated, isolated.controller.virtualMachinesListed(machines, emptySet(), fleet.now))
    }

    @Nested
    inner class FleetSize {
        @Test
        fun `an unreachable router whose VM is listed by IP address still counts`() {
            // Guards against an isolated router that considers itself the whole fleet and accepts documents.
            isolateNode()
            list(fleet.nodes.map { it.address.copy(port = 0) }.toSet())
            assertEquals(NODES, isolated.controller.fleetSize(), "seed $seed")
        }

        @Test
        fun `an empty list is ignored`() {
            // Guards against the same fault when the platform wrongly returns an empty list.
            isolateNode()
            list(emptySet())
            assertEquals(NODES, isolated.controller.fleetSize(), "seed $seed")
        }

        @Test
        fun `a dead router whose VM is no longer listed does not count`() {
            // Guards against a fleet that can reach no majority because replaced VMs still count.
            isolateNode()
            list(
                fleet.nodes
                    .drop(2)
                    .map { it.address.copy(port = 0) }
                    .toSet() + isolated.address,
            )
            assertEquals(NODES - 1, isolated.controller.fleetSize(), "seed $seed")
        }
    }

    private companion object {
        const val NODES = 8
    }
}
