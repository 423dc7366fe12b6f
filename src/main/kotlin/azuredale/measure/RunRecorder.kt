package azuredale.measure

import azuredale.identity.PoolId
import azuredale.identity.ServerId

/**
 * Records a run of the system or of a baseline through the same interface, so that their figures are comparable.
 *
 * @property from start of the measured interval; everything earlier is warm-up.
 */
internal class RunRecorder(
    private val queue: EventQueue,
    private val profile: Profile,
    private val work: List<WorkItem>,
    val from: Long,
) : ServerObserver {
    private val startedAt = LongArray(work.size) { NEVER }
    private val lastUnitAt = LongArray(work.size) { NEVER }
    private val executions = HashMap<String, Int>()
    private val document = profile.document

    /** Servers that are dead or withdrawn by the newest document; their slots are not counted. */
    val excluded = HashSet<ServerId>()
    lateinit var meters: Map<PoolId, PoolMeter>
        private set

    /** Called when a job reaches a server, before it runs. */
    var onArrival: (FakeServer, Job) -> Unit = { _, _ -> }

    /** Returns the number of executions of the non-idempotent request [key]. */
    fun executionsOf(key: String): Int = executions[key] ?: 0

    /** Starts recording [servers]. */
    fun attach(servers: List<FakeServer>) {
        meters =
            document.pools.values.associate { pool ->
                val own = servers.filter { it.entry.pool == pool.id }
                val shares =
                    document.teams.values
                        .filter { pool.id in it.pools }
                        .associate { it.id to it.share }
                pool.id to PoolMeter(pool, shares, own) { it.entry.id !in excluded }
            }
        meters.values.forEach { it.addWindow(from) }
        meters.keys.forEach { addUtilisation(it, from, Long.MAX_VALUE) }
        restartWindows(from)
    }

    /** Measures the gap of intervals that begin at [start] or later, of [routers] or of all. */
    fun addWindow(pool: PoolId, start: Long, routers: Set<Int>? = null): GapWindow {
        val window = meters.getValue(pool).addWindow(start, routers)
        queue.at(start) { window.gap.restart() }
        return window
    }

    /** Ends [window] at [time]. */
    fun freezeAt(window: GapWindow, time: Long): Unit = queue.at(time) { window.gap.freeze() }

    /** Measures the utilisation from [start] until [end]. */
    fun addUtilisation(pool: PoolId, start: Long, end: Long): UtilisationWindow {
        val meter = meters.getValue(pool)
        queue.at(start) { meter.advance(start) }
        if (end != Long.MAX_VALUE) queue.at(end) { meter.advance(end) }
        return UtilisationWindow(start, end).also(meter.utilisations::add)
    }

    fun waitingChanged(item: WorkItem, router: Int, difference: Int): Unit =
        meters.getValue(item.pool).waitingChanged(item.team, router, difference, queue.now)

    /** Records that a unit of the answer reached the router of the caller. */
    fun unitsArrived(item: WorkItem) {
        if (item.arrival < from) return
        val meter = meters.getValue(item.pool)
        val last = lastUnitAt[item.index]
        val now = queue.now + profile.clientDelay
        lastUnitAt[item.index] = now
        when {
            last != NEVER -> meter.interUnitDelay.recordValue(now - last)
            item.team in profile.lightTeams -> meter.firstUnitDelay.recordValue(now - item.arrival)
        }
    }

    fun completed(item: WorkItem) {
        if (queue.now >= from) meters.getValue(item.pool).completed++
    }

    override fun jobArrived(server: FakeServer, job: Job) {
        val item = job.work
        item.key?.let { executions.merge(it, 1, Int::plus) }
        onArrival(server, job)
        meters.getValue(item.pool).inFlightChanged(item.team, 1)
    }

    override fun jobStarted(job: Job) {
        val item = job.work
        if (startedAt[item.index] != NEVER) return
        startedAt[item.index] = queue.now
        if (item.arrival >= from) meters.getValue(item.pool).waited(item.team, queue.now - item.arrival)
    }

    override fun jobServed(job: Job, units: Int): Unit =
        meters.getValue(job.work.pool).served(job.work, job.router, units, queue.now)

    override fun jobEnded(job: Job): Unit = meters.getValue(job.work.pool).inFlightChanged(job.work.team, -1)

    override fun slotsChanging(server: FakeServer): Unit = meters.getValue(server.entry.pool).advance(queue.now)

    /** Ends the recording; requests that are still waiting count with their waiting time so far. */
    fun finish() {
        work.filter { startedAt[it.index] == NEVER && it.arrival in from..queue.now }.forEach {
            meters.getValue(it.pool).waited(it.team, queue.now - it.arrival)
        }
        meters.values.forEach { it.finish(queue.now) }
    }

    private fun restartWindows(start: Long): Unit =
        meters.values.flatMap { it.windows }.forEach { queue.at(start) { it.gap.restart() } }

    private companion object {
        const val NEVER = -1L
    }
}
