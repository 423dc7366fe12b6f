package azuredale.measure

import azuredale.configuration.PoolKind
import azuredale.identity.PoolId
import azuredale.protocol.ShardId
import kotlin.random.Random

/**
 * A fault that `azuredale measure --fault` injects during the load.
 *
 * @property end time at which the fault ends, in microseconds since the start of the run.
 */
internal enum class Fault(
    val label: String,
    val end: Long = RunTimes.FAULT_START,
) {
    ALLOTTER_LOST("allotter-lost") {
        override fun schedule(fleet: Fleet) {
            fleet.queue.at(RunTimes.FAULT_START) { allotterOf(fleet)?.let(fleet::crash) }
        }
    },
    PARTITION_REJOIN("partition-rejoin", RunTimes.FAULT_START + 8 * EventQueue.SECOND) {
        override fun schedule(fleet: Fleet) {
            fleet.queue.at(RunTimes.FAULT_START) { cutSmallSide(fleet) }
            fleet.queue.at(end) { fleet.network.healAll() }
        }
    },
    PLATFORM_OUTAGE("platform-outage", RunTimes.FAULT_START + 12 * EventQueue.SECOND) {
        override fun schedule(fleet: Fleet) {
            fleet.queue.at(RunTimes.FAULT_START) { fleet.platform.isDown = true }
            fleet.queue.at(end) { fleet.platform.isDown = false }
        }
    },
    FLOOD("flood", RunTimes.FAULT_START + 8 * EventQueue.SECOND) {
        override fun schedule(fleet: Fleet) = Unit

        override fun flood(profile: Profile): Flood = Flood(
            profile.teams.last { it.role == TeamRole.LIGHT && it.id != profile.smallestTeam },
            RunTimes.FAULT_START,
            end,
            FLOOD_FACTOR,
        )
    },
    LOSSY("lossy") {
        override fun schedule(fleet: Fleet) {
            fleet.network.datagramLoss = DATAGRAM_LOSS
        }
    },
    PAUSES("pauses", RunTimes.FAULT_START + 12 * EventQueue.SECOND) {
        override fun schedule(fleet: Fleet) {
            val random = Random(fleet.options.seed)
            for (start in RunTimes.FAULT_START..<end step PAUSE_PERIOD) {
                val host = fleet.hosts.random(random)
                fleet.queue.at(start) { host.pause() }
                fleet.queue.at(start + PAUSE_DURATION) { host.resume() }
            }
        }
    },
    ;

    abstract fun schedule(fleet: Fleet)

    /** Returns the extra load of the fault, or null if it has none. */
    open fun flood(profile: Profile): Flood? = null

    companion object {
        /** Makes a small team request several times the capacity of a pool, more than its queues can hold. */
        private const val FLOOD_FACTOR = 300.0
        private const val DATAGRAM_LOSS = 0.01
        private const val PAUSE_PERIOD = 4 * EventQueue.SECOND
        private const val PAUSE_DURATION = 3 * EventQueue.SECOND

        fun named(label: String): Fault? = entries.firstOrNull { it.label == label }

        /** Returns the indexes of the routers in the first failure domain, which a partition cuts from the platform. */
        fun smallSide(profile: Profile): Set<Int> =
            (0 until profile.routers).filterTo(LinkedHashSet()) { profile.domainOf(it) == profile.domainOf(0) }

        private fun cutSmallSide(fleet: Fleet) {
            val side = smallSide(fleet.profile)
            val (inside, outside) = fleet.hosts.partition { it.index in side }
            inside.forEach { host ->
                outside.forEach { fleet.network.cut(host.name, it.name) }
                fleet.network.cut(host.name, FakeNetwork.PLATFORM)
            }
        }

        /** Returns the router that grants the slots of the model pool, or null if none has sent a grant yet. */
        fun allotterOf(fleet: Fleet): RouterHost? {
            val pool: PoolId =
                fleet.profile.pools
                    .first { it.kind == PoolKind.MODEL }
                    .id
            return fleet.allotters[ShardId(pool)]?.let(fleet::host)
        }
    }
}
