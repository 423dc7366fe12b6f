package azuredale.measure

import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.TeamId

/**
 * Runs the load without routers, on [parts] ideal schedulers that know every cost and see every event without delay.
 *
 * With one part, this is a single global queue, the upper bound. With one part per router, each router schedules alone
 * on a static, equal part of the slots of every server, the lower bound.
 */
internal class BaselineRun(
    private val profile: Profile,
    private val queue: EventQueue,
    private val recorder: RunRecorder,
    private val parts: Int,
) {
    private val servers =
        profile.document.servers.values.mapIndexed { index, entry ->
            val kind =
                profile.document.pools
                    .getValue(entry.pool)
                    .kind
            index to FakeServer(entry, profile.servers.getValue(entry.id), kind, queue, recorder)
        }
    private val schedulers =
        List(parts) { part ->
            profile.pools.associate { pool ->
                val own = servers.filter { (_, server) -> server.entry.pool == pool.id }
                val slots = own.associate { (index, server) -> server to slotsOf(server, index, part) }
                pool.id to PoolScheduler(pool.id, slots)
            }
        }

    init {
        recorder.attach(servers.map { it.second })
    }

    fun run(work: List<WorkItem>, end: Long) {
        work.forEach { item ->
            queue.at(item.arrival + profile.clientDelay) {
                recorder.waitingChanged(item, item.router, 1)
                schedulers[item.router % parts].getValue(item.pool).offer(item)
            }
        }
        queue.runUntil(end)
        recorder.finish()
    }

    /** Divides the slots of a server evenly; the remainder goes to different parts for different servers. */
    private fun slotsOf(server: FakeServer, index: Int, part: Int): Int {
        val slots = server.plan.concurrency
        return slots / parts + if ((part + index * slots) % parts < slots % parts) 1 else 0
    }

    private inner class PoolScheduler(
        private val pool: PoolId,
        slots: Map<FakeServer, Int>,
    ) {
        private val free =
            HashMap<ServerId, Int>().also { map ->
                slots.forEach { (key, count) ->
                    map[key.entry.id] =
                        count
                }
            }
        private val bySpeed = slots.keys.sortedByDescending { it.plan.speed }
        private val order = WeightedFairQueue(profile.teams.associate { it.id to it.share })

        fun offer(item: WorkItem) {
            order.add(item)
            dispatch()
        }

        private fun dispatch() {
            while (true) {
                val server = bySpeed.firstOrNull { free.getValue(it.entry.id) > 0 } ?: return
                val item = order.take() ?: return
                recorder.waitingChanged(item, item.router, -1)
                free.merge(server.entry.id, -1, Int::plus)
                server.submit(
                    Job(item, item.router, item.units, onUnits = { recorder.unitsArrived(item) }) {
                        recorder.completed(item)
                        free.merge(server.entry.id, 1, Int::plus)
                        dispatch()
                    },
                )
            }
        }

        override fun toString(): String = "scheduler of $pool"
    }
}

/** Weighted fair queueing by true cost: serves the waiting team with the lowest total cost divided by share. */
internal class WeightedFairQueue(private val shares: Map<TeamId, Double>) {
    private val queues = LinkedHashMap<TeamId, ArrayDeque<WorkItem>>()
    private val charges = HashMap<TeamId, Double>()

    fun add(item: WorkItem) {
        val own = queues.getOrPut(item.team) { ArrayDeque() }
        if (own.isEmpty()) catchUp(item.team)
        own.addLast(item)
    }

    fun take(): WorkItem? {
        val team = waitingTeams().minByOrNull { charges[it] ?: 0.0 } ?: return null
        val item = queues.getValue(team).removeFirst()
        charges.merge(team, item.units / shares.getValue(team), Double::plus)
        return item
    }

    /** Raises the charge of a team that starts to wait to the lowest waiting one, so that idle time earns no credit. */
    private fun catchUp(team: TeamId) {
        val lowest = waitingTeams().minOfOrNull { charges[it] ?: 0.0 } ?: return
        charges[team] = maxOf(charges[team] ?: 0.0, lowest)
    }

    private fun waitingTeams() = queues.filterValues { it.isNotEmpty() }.keys
}
