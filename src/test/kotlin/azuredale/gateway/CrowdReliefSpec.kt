package azuredale.gateway

import azuredale.logging.EventLog
import azuredale.peers.SimulatedExchange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Load pattern: callers of a few teams keep to one small VM, whatever the address answers say. */
class CrowdReliefSpec {
    private fun fleet(weight: (Int) -> Double = { if (it % 4 == 0) 1.5 else 0.27 }) =
        SimulatedExchange(routers = 16, domains = 4, weight).also { it.run(4_000) }

    private fun relief(node: SimulatedExchange.Node): CrowdRelief {
        val addresses =
            RouterAddresses(node.settings, node.exchange.peers, { true }, { node.isOverloaded }, { node.spareQuarters })
        return CrowdRelief(EventLog("azuredale.gateway"), addresses::hasRoomElsewhere)
    }

    private fun SimulatedExchange.isWithheld(node: SimulatedExchange.Node): Boolean {
        val relief = relief(node)
        relief.update(isCrowded = node.spareQuarters == 0, now)
        return relief.isWithheld
    }

    @Test
    fun `a crowded router is not ready while the others have room`() {
        // Guards against a team that is refused at one small VM beside an idle fleet.
        val fleet = fleet()
        val crowded = fleet.nodes[1]
        assertFalse(fleet.isWithheld(crowded))
        crowded.spareQuarters = 0
        fleet.run(1_000)
        assertTrue(fleet.isWithheld(crowded))
        assertFalse(fleet.isWithheld(fleet.nodes[2]))
    }

    @Test
    fun `crowded routers stay ready when the others could not take their callers`() {
        // Guards against a fleet in which nobody is ready because all are crowded.
        val fleet = fleet()
        fleet.nodes.filterIndexed { index, _ -> index % 4 == 0 || index < 8 }.forEach { it.spareQuarters = 0 }
        fleet.run(1_000)
        assertTrue(fleet.nodes.none { fleet.isWithheld(it) })
    }

    @Test
    fun `routers of a small fleet of equal VMs stay ready`() {
        // Guards against another behaviour of fleets whose answers name all routers.
        val fleet = fleet { 0.75 }
        fleet.nodes[1].spareQuarters = 0
        fleet.run(1_000)
        assertFalse(fleet.isWithheld(fleet.nodes[1]))
    }

    @Test
    fun `a router that is crowded no longer is ready again`() {
        // Guards against a router that stays without callers.
        val fleet = fleet()
        val node = fleet.nodes[1]
        val relief = relief(node)
        node.spareQuarters = 0
        relief.update(isCrowded = true, fleet.now)
        val before = relief.isWithheld
        relief.update(isCrowded = false, fleet.now.plusMilliseconds(300))
        assertEquals(listOf(true, false), listOf(before, relief.isWithheld))
    }
}
