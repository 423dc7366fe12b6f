package azuredale.measure

import azuredale.configuration.Pool
import azuredale.identity.TeamId
import org.HdrHistogram.Histogram

/** A [FairnessGap] over the requests of [routers] (null means all) in intervals that begin at [start] or later. */
internal class GapWindow(
    val start: Long,
    val routers: Set<Int>?,
    val gap: FairnessGap,
) {
    fun covers(router: Int): Boolean = routers == null || router in routers
}

/** Share of slot time in use while work was queued, from [start] until [end]; null when no work was queued. */
internal class UtilisationWindow(
    val start: Long,
    val end: Long,
) {
    private var busyTime = 0.0
    private var slotTime = 0.0
    val share: Double? get() = if (slotTime == 0.0) null else busyTime / slotTime

    fun add(busy: Double, slots: Double) {
        busyTime += busy
        slotTime += slots
    }
}

/** Measures the gap, utilisation, waiting times and latency of one pool in one run. */
internal class PoolMeter(
    val pool: Pool,
    private val shares: Map<TeamId, Double>,
    private val servers: List<FakeServer>,
    private val isEligible: (FakeServer) -> Boolean,
) {
    private val waiting = HashMap<TeamId, Int>()
    private val lastProgress = HashMap<TeamId, Long>()
    private var waitingTotal = 0
    private var updatedAt = 0L
    private val inFlight = HashMap<TeamId, Int>()

    val utilisations = ArrayList<UtilisationWindow>()
    val maxInFlight = HashMap<TeamId, Int>()
    val windows = ArrayList<GapWindow>()
    val longestWaits = HashMap<TeamId, Long>()
    val firstUnitDelay = Histogram(HISTOGRAM_LIMIT, 3)
    val interUnitDelay = Histogram(HISTOGRAM_LIMIT, 3)
    var largestCost: Int = 0
        private set
    var completed: Int = 0
    var unitsServed: Long = 0
        private set

    /** The team that waited longest without any service, and for how long. */
    var longestStarvation: Pair<TeamId, Long>? = null
        private set

    fun addWindow(start: Long, routers: Set<Int>? = null): GapWindow =
        GapWindow(start, routers, FairnessGap(shares)).also(windows::add)

    /** Accounts for the time up to [now]; must be called before any change of slots or of the queue. */
    fun advance(now: Long) {
        val elapsed = (now - updatedAt).toDouble()
        val begin = updatedAt
        updatedAt = now
        if (elapsed <= 0 || waitingTotal == 0) return
        val eligible = servers.filter(isEligible)
        val busy = eligible.sumOf { it.runningCount }
        val slots = eligible.sumOf { it.plan.concurrency }
        utilisations.forEach { if (begin >= it.start && now <= it.end) it.add(busy * elapsed, slots * elapsed) }
    }

    fun waitingChanged(team: TeamId, router: Int, difference: Int, now: Long) {
        advance(now)
        waitingTotal += difference
        val before = waiting[team] ?: 0
        waiting[team] = before + difference
        if (before == 0) lastProgress[team] = now else updateStarvation(team, now)
        windows.forEach { if (it.covers(router)) it.gap.waitingChanged(team, difference) }
    }

    fun served(work: WorkItem, router: Int, units: Int, now: Long) {
        unitsServed += units
        largestCost = maxOf(largestCost, work.units)
        updateStarvation(work.team, now)
        lastProgress[work.team] = now
        windows.forEach { if (it.covers(router)) it.gap.served(work.team, units.toDouble(), now) }
    }

    fun inFlightChanged(team: TeamId, difference: Int) {
        val count = (inFlight[team] ?: 0) + difference
        inFlight[team] = count
        maxInFlight.merge(team, count, ::maxOf)
    }

    fun waited(team: TeamId, time: Long) {
        longestWaits.merge(team, time, ::maxOf)
    }

    /** Ends the measurement at [now]. */
    fun finish(now: Long) {
        advance(now)
        waiting.keys.forEach { updateStarvation(it, now) }
    }

    private fun updateStarvation(team: TeamId, now: Long) {
        if ((waiting[team] ?: 0) == 0) return
        val time = now - (lastProgress[team] ?: now)
        if (time > (longestStarvation?.second ?: 0)) longestStarvation = team to time
    }

    private companion object {
        const val HISTOGRAM_LIMIT = 600_000_000L
    }
}
