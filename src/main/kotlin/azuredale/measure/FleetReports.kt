package azuredale.measure

import azuredale.identity.NetworkAddress
import azuredale.node.NodeEvent
import azuredale.sharing.CacheEvent
import azuredale.sharing.LoadReport
import kotlin.random.Random

/** Delivers load reports, cache events and the platform's VM list to the routers, with delay and losses. */
internal class FleetReports(
    private val fleet: Fleet,
    private val random: Random,
) {
    private val queue = fleet.queue
    private val pendingLists = ArrayDeque<Set<NetworkAddress>>()

    fun schedule() {
        fleet.servers.values.forEach { server ->
            queue.every(LOAD_PERIOD, random.nextLong(LOAD_PERIOD)) { reportLoad(server) }
            server.onCache = { prefix, isEvicted -> publishCache(CacheEvent(server.entry.id, prefix, isEvicted)) }
        }
        queue.every(LIST_PERIOD, 0) { deliverMachineLists() }
    }

    private fun reportLoad(server: FakeServer) {
        if (server.isDead) return
        val rate = server.takeUnits().toDouble() / LOAD_PERIOD * EventQueue.SECOND
        fleet.hosts.filter { fleet.network.isReachable(it.name, server.entry.id.name) }.forEach { host ->
            val report =
                LoadReport(
                    server = server.entry.id,
                    failureDomain = server.entry.failureDomain,
                    running = server.runningCount,
                    waiting = server.waitingCount,
                    unitsPerSecond = rate,
                    observedAt = host.now,
                )
            host.acceptLater(LOAD_LAG) { NodeEvent.LoadReported(report) }
        }
    }

    private fun publishCache(event: CacheEvent) {
        fleet.hosts.forEach { host ->
            if (random.nextDouble() >= CACHE_EVENT_LOSS) {
                host.acceptLater(CACHE_LAG) { NodeEvent.CacheEventsReceived(listOf(event)) }
            }
        }
    }

    private fun deliverMachineLists() {
        pendingLists.addLast(fleet.hosts.filter { it.isUp }.mapTo(LinkedHashSet()) { it.settings.probeAddress })
        if (pendingLists.size > LIST_LAG_PERIODS) pendingLists.removeFirst()
        val list = pendingLists.first()
        fleet.hosts
            .filter { fleet.network.isReachable(it.name, FakeNetwork.PLATFORM) && !fleet.platform.isDown }
            .forEach { it.accept(NodeEvent.VirtualMachinesListed(list, emptySet())) }
    }

    private companion object {
        const val LOAD_PERIOD = 1_000 * EventQueue.MILLISECOND
        const val LOAD_LAG = 300 * EventQueue.MILLISECOND
        const val CACHE_LAG = 500 * EventQueue.MILLISECOND
        const val CACHE_EVENT_LOSS = 0.05
        const val LIST_PERIOD = 2 * EventQueue.SECOND
        const val LIST_LAG_PERIODS = 5
    }
}
