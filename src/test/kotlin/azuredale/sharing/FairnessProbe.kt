package azuredale.sharing

import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import kotlin.math.abs

/** Measures fairness gap, utilisation and the longest time for which a slot is idle while requests wait. */
internal class FairnessProbe(private val fleet: SharingFleet) {
    private class Span(
        var lowest: Double,
        var highest: Double,
    )

    private val teams =
        fleet.document.teams.values
            .toList()
    private val pairs = teams.flatMap { first -> teams.filter { it.id.name > first.id.name }.map { first to it } }
    private val spans = HashMap<Pair<TeamId, TeamId>, Span>()
    private val idleSince = HashMap<ServerId, ArrayDeque<Timestamp>>()
    private val busy = HashMap<ServerId, Int>()
    private var lastAt = fleet.now
    private var wasWaiting = false
    private var busyTime = 0.0
    private var possibleTime = 0.0

    /** Largest change of the service difference of a pair of teams while both were continuously backlogged. */
    var gap = 0.0
        private set
    var mostAtOnce = 0
        private set
    var longestIdleMicroseconds = 0L
        private set
    private val mostRunning = HashMap<TeamId, Int>()
    val utilisation: Double get() = busyTime / possibleTime

    /**
     * Upper bound on [gap] from design section 3.3: the sum of one term for each team of a pair, taken for the two
     * teams with the largest terms. A term is the team's peak number of running requests times [perRequest], divided by
     * its share.
     */
    fun bound(perRequest: Double): Double = teams
        .map { (mostRunning[it.id] ?: 0) * perRequest / it.share }
        .sortedDescending()
        .take(2)
        .sum()

    fun step() {
        mostAtOnce = maxOf(mostAtOnce, fleet.running.size)
        measureUtilisation()
        val services = teams.associate { it.id to fleet.service(it) }
        teams.forEach { team ->
            mostRunning.merge(team.id, fleet.running.values.count { it.work.team == team.id }, ::maxOf)
        }
        pairs.forEach { (first, second) ->
            val key = first.id to second.id
            if (isBacklogged(first.id) && isBacklogged(second.id)) {
                val difference = services.getValue(first.id) - services.getValue(second.id)
                val span = spans.getOrPut(key) { Span(difference, difference) }
                span.lowest = minOf(span.lowest, difference)
                span.highest = maxOf(span.highest, difference)
                gap = maxOf(gap, abs(span.highest - span.lowest))
            } else {
                spans.remove(key)
            }
        }
    }

    private fun isBacklogged(team: TeamId): Boolean = (fleet.waiting[team] ?: 0) > 0

    private fun measureUtilisation() {
        val isWaiting = fleet.waiting.values.any { it > 0 }
        if (wasWaiting) {
            val seconds = fleet.now.secondsSince(lastAt)
            busyTime += seconds * busy.values.sum()
            possibleTime += seconds *
                fleet.document.servers.values
                    .sumOf { it.slots }
        }
        lastAt = fleet.now
        fleet.document.servers.values.forEach { server ->
            val running = minOf(server.slots, fleet.running.values.count { it.server == server.id })
            val idle = idleSince.getOrPut(server.id) { ArrayDeque() }
            while (idle.size < server.slots - running) idle.addLast(fleet.now)
            while (idle.size > server.slots - running) idle.removeFirst()
            if (!wasWaiting) idle.indices.forEach { idle[it] = fleet.now }
            if (isWaiting && wasWaiting) {
                idle.firstOrNull()?.let { since ->
                    longestIdleMicroseconds = maxOf(longestIdleMicroseconds, fleet.now.microsecondsSince(since))
                }
            }
            busy[server.id] = running
        }
        wasWaiting = isWaiting
    }
}
