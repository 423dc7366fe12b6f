package azuredale.gateway

import azuredale.intake.SpareCapacity
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

    /** Seconds for which a router is not ready that is crowded for two seconds at each of [times], in seconds. */
    private fun unreadySeconds(vararg times: Int): Int {
        val fleet = fleet()
        val relief = relief(fleet.nodes[1])
        return (0 until 60).count { second ->
            val isCrowded = times.any { second in it until it + 2 }
            fleet.nodes[1].spareQuarters = if (isCrowded) 0 else SpareCapacity.ALL
            relief.update(isCrowded, fleet.now.plusSeconds(second.toLong()))
            relief.isWithheld
        }
    }

    @Test
    fun `a router that is crowded no longer is ready again`() {
        // Guards against a router that stays without callers.
        assertEquals(5, unreadySeconds(0))
        assertEquals(10, unreadySeconds(0, 30))
    }

    @Test
    fun `a router that is crowded again soon stays unready for longer`() {
        // Guards against callers that come back to the same small VM again and again.
        assertEquals(5 + 10 + 20, unreadySeconds(0, 6, 18))
    }
}
