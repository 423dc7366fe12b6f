package azuredale.measure

import azuredale.identity.TeamId

/** The largest gap, and the pair of teams between which it occurred. */
internal data class GapFigure(
    val gap: Double,
    val first: TeamId,
    val second: TeamId,
)

/**
 * The fairness gap of section 1.3 of the design page, computed exactly.
 *
 * For a pair of teams let `D(t)` be the difference of their service divided by share. Over all intervals in which both
 * teams wait throughout, the largest change of `D` is its range (highest minus lowest) within the longest such
 * interval, so one pass with the range per pair suffices. Service is a step function of time: all deliveries at one
 * instant count together, because no interval separates them.
 */
internal class FairnessGap(shares: Map<TeamId, Double>) {
    private val teams = shares.keys.toList()
    private val indexes = teams.withIndex().associate { (index, team) -> team to index }
    private val weights = DoubleArray(teams.size) { shares.getValue(teams[it]) }
    private val service = DoubleArray(teams.size)
    private val waiting = IntArray(teams.size)
    private val lowest = Array(teams.size) { DoubleArray(it) }
    private val highest = Array(teams.size) { DoubleArray(it) }
    private val isChanged = BooleanArray(teams.size)
    private val changed = ArrayList<Int>()
    private var instant = Long.MIN_VALUE
    private var isFrozen = false
    private var largest: GapFigure? = null

    /** The largest gap so far; null until two teams have waited at the same time. */
    val figure: GapFigure? get() {
        flush()
        return largest
    }

    /** Records that [team] received [amount] of service at [time]. */
    fun served(team: TeamId, amount: Double, time: Long) {
        if (time != instant) flush()
        instant = time
        val index = indexes.getValue(team)
        service[index] += amount / weights[index]
        if (!isChanged[index]) changed.add(index)
        isChanged[index] = true
    }

    /** Changes the number of waiting requests of [team] by [difference]. */
    fun waitingChanged(team: TeamId, difference: Int) {
        flush()
        val index = indexes.getValue(team)
        val wasWaiting = waiting[index] > 0
        waiting[index] += difference
        check(waiting[index] >= 0) { "team $team has a negative number of waiting requests" }
        if (!wasWaiting && waiting[index] > 0) waitingTeams(index).forEach { startInterval(index, it) }
    }

    /** Discards everything recorded so far; intervals in progress start again now. */
    fun restart() {
        flush()
        largest = null
        teams.indices.filter { waiting[it] > 0 }.forEach { index ->
            waitingTeams(index).filter { it < index }.forEach { startInterval(index, it) }
        }
    }

    /** Stops recording: everything that happens later is ignored. */
    fun freeze() {
        flush()
        isFrozen = true
    }

    private fun waitingTeams(except: Int) = teams.indices.filter { it != except && waiting[it] > 0 }

    private fun startInterval(one: Int, other: Int) {
        val upper = maxOf(one, other)
        val lower = minOf(one, other)
        val difference = service[upper] - service[lower]
        lowest[upper][lower] = difference
        highest[upper][lower] = difference
        if (largest == null && !isFrozen) largest = GapFigure(0.0, teams[upper], teams[lower])
    }

    private fun flush() {
        for (index in changed) {
            isChanged[index] = false
            if (waiting[index] == 0 || isFrozen) continue
            for (other in teams.indices) if (other != index && waiting[other] > 0) updateRange(index, other)
        }
        changed.clear()
    }

    private fun updateRange(one: Int, other: Int) {
        val upper = maxOf(one, other)
        val lower = minOf(one, other)
        val difference = service[upper] - service[lower]
        if (difference < lowest[upper][lower]) lowest[upper][lower] = difference
        if (difference > highest[upper][lower]) highest[upper][lower] = difference
        val range = highest[upper][lower] - lowest[upper][lower]
        if (range > (largest?.gap ?: -1.0)) largest = GapFigure(range, teams[upper], teams[lower])
    }
}
