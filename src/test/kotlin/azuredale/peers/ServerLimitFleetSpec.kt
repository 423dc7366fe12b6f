package azuredale.peers

import azuredale.engine.ServerLoad
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: a server names a limit for all routers together, of which many would send to it at the same time. */
class ServerLimitFleetSpec {
    /** A fleet whose routers all want to send to server 0. */
    private class Load(
        routers: Int,
        private val weight: (Int) -> Double,
    ) {
        val fleet = SimulatedExchange(routers, domains = 4)
        val server = fleet.servers[0]
        val arrivals = ArrayList<Timestamp>()
        var limit: Double? = null
        private val random = Random(1)
        private val running = ArrayDeque<Triple<Timestamp, SimulatedExchange.Node, Int>>()

        /** Offers [perSecond] requests to the fleet for [milliseconds]; those not sent to server 0 go to others. */
        fun run(milliseconds: Long, perSecond: Double) {
            val weights = fleet.nodes.indices.map(weight)
            repeat(milliseconds.toInt()) {
                while (running.isNotEmpty() && running.first().first <= fleet.now) end()
                fleet.nodes.forEachIndexed { index, node ->
                    val probability = perSecond / 1_000 * weights[index] / weights.sum()
                    if (random.nextDouble() < probability && node !in fleet.cut) offer(node)
                }
                fleet.run(1)
            }
        }

        private fun offer(node: SimulatedExchange.Node) {
            val allowed = node.statistics.limits.allowsRequest(server, fleet.servers, fleet.now)
            val index = if (allowed) 0 else 1 + random.nextInt(fleet.servers.size - 1)
            val target = fleet.servers[index]
            node.statistics.loads.add(target.id, ServerLoad(running = 1))
            node.statistics.limits.recordSent(target, fleet.now)
            if (allowed) arrivals += fleet.now
            // The answer comes after 20 ms, the end of the request after 600 ms.
            if (allowed) node.statistics.limits.recordAnswer(server, limit, fleet.now)
            running += Triple(fleet.now.plusMilliseconds(600), node, index)
        }

        private fun end() {
            val (_, node, index) = running.removeFirst()
            node.statistics.loads.add(fleet.servers[index].id, ServerLoad(running = -1))
        }

        /** Largest number of arrivals within 4 s that began later than [from]. */
        fun worstWindow(from: Timestamp): Int = arrivals
            .filter { it >= from }
            .maxOfOrNull { start -> arrivals.count { it >= start && it < start.plusMilliseconds(4_000) } } ?: 0
    }

    private fun allowed(limit: Double) = (limit * 4 * 1.5 + 5).toInt()

    @Nested
    inner class Limits {
        @ParameterizedTest
        @CsvSource("8, 12.0, 150", "8, 2.0, 150", "40, 12.0, 400", "95, 20.0, 800", "95, 3.0, 800")
        fun `hold for all routers together and are used`(routers: Int, limit: Double, perSecond: Double) {
            // Guards against a server that gets its limit from each router.
            val load = Load(routers) { 1.0 }
            load.run(3_000, perSecond)
            load.limit = limit
            load.run(3_000, perSecond)
            val from = load.fleet.now
            load.run(12_000, perSecond)
            assertTrue(load.worstWindow(from) <= allowed(limit), "${load.worstWindow(from)} of ${allowed(limit)}")
            val rate = load.arrivals.count { it >= from } / 12.0
            assertTrue(rate >= limit * 0.6, "$rate a second of $limit are used")
        }

        @ParameterizedTest
        @ValueSource(ints = [8, 95])
        fun `go to the routers that have the callers`(routers: Int) {
            // Guards against equal parts, which starve a router with half of all callers.
            val load = Load(routers) { if (it == 0) routers.toDouble() else 1.0 }
            load.run(3_000, perSecond = 300.0)
            load.limit = 20.0
            load.run(3_000, perSecond = 300.0)
            val from = load.fleet.now
            load.run(10_000, perSecond = 300.0)
            val rate = load.arrivals.count { it >= from } / 10.0
            assertTrue(rate >= 12, "$rate a second of 20 are used")
            assertTrue(load.worstWindow(from) <= allowed(20.0))
        }

        @Test
        fun `that fall and end are followed by all routers`() {
            // Guards against a limit that lasts at a router to which the server does not answer any more.
            val load = Load(routers = 40) { 1.0 }
            load.limit = 40.0
            load.run(4_000, perSecond = 400.0)
            load.limit = 5.0
            load.run(5_000, perSecond = 400.0)
            val from = load.fleet.now
            load.run(6_000, perSecond = 400.0)
            assertTrue(load.worstWindow(from) <= allowed(5.0), "${load.worstWindow(from)} of ${allowed(5.0)}")
            load.limit = null
            load.run(2_000, perSecond = 400.0)
            val limited =
                load.fleet.nodes.count {
                    !it.statistics.limits.allowsRequest(load.server, load.fleet.servers, load.fleet.now)
                }
            assertEquals(0, limited)
        }

        @Test
        fun `hold while the relay of a failure domain is lost`() {
            // Guards against parts of a limit that grow because the others are not heard of for a moment.
            val load = Load(routers = 40) { 1.0 }
            load.run(3_000, perSecond = 400.0)
            load.limit = 12.0
            load.run(4_000, perSecond = 400.0)
            val from = load.fleet.now
            load.fleet.nodes
                .filter { it.exchange.isRelay }
                .take(1)
                .forEach { load.fleet.cut += it }
            load.run(8_000, perSecond = 400.0)
            assertTrue(load.worstWindow(from) <= allowed(12.0), "${load.worstWindow(from)} of ${allowed(12.0)}")
        }

        @Test
        fun `of nothing still let a request through now and then`() {
            // Guards against a limit whose end nobody sees, because nobody sends.
            val load = Load(routers = 8) { 1.0 }
            load.limit = 0.0
            load.run(5_000, perSecond = 200.0)
            val from = load.fleet.now
            load.run(12_000, perSecond = 200.0)
            assertTrue(load.arrivals.any { it >= from })
            assertTrue(load.worstWindow(from) <= 5, "${load.worstWindow(from)} requests")
        }
    }
}
