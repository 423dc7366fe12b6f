package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.time.Timestamp

/**
 * Chooses the server of a plain service, whose requests have no prompt.
 *
 * While all servers have free slots and are equally fast, the choice goes by the part of the slots in use. Otherwise it
 * goes by the expected time to the response. The loads that routers know of are old, so if all of them took the best
 * server, the next reports would find it full: each router draws two servers, those with more free capacity more often,
 * and takes the better one.
 */
internal class ServicePlacement(private val statistics: ServerStatistics) {
    /** The best of [candidates], null if there are none. */
    fun select(request: SelectionRequest, candidates: List<BackendEntry>, now: Timestamp): ServerSelection.Selected? {
        val choices = candidates.map { selection(it, statistics.loads.load(it.id, it.idHash, now)) }
        if (isCalm(choices)) return choices.minByOrNull { usedPart(it, request) }
        val capacities = choices.map(::freeCapacity)
        val perCapacity = unreportedRequests(candidates.first(), now) / capacities.sum()
        val reckoned =
            choices.zip(capacities) { choice, capacity ->
                choice.copy(predictedMilliseconds = milliseconds(choice, unreported = perCapacity * capacity))
            }
        val (first, second) = List(2) { draw(reckoned, capacities) }
        return if (cost(first, request) <= cost(second, request)) first else second
    }

    /** Usual milliseconds of a request to [server] that finds a free slot; 0 until the pool has answered one. */
    fun usualMilliseconds(server: BackendEntry): Double = statistics.serviceTimes(server.pool).milliseconds(server.id)

    /** Whether the server of [selection] is expected to answer before [deadline]. */
    fun canAnswer(selection: ServerSelection.Selected, deadline: Timestamp, now: Timestamp): Boolean {
        val remaining = deadline.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        return selection.predictedMilliseconds <= remaining
    }

    private fun selection(server: BackendEntry, load: ServerLoad): ServerSelection.Selected {
        val selection = ServerSelection.Selected(server, uncachedTokens = 0, predictedMilliseconds = 0.0, load = load)
        return selection.copy(predictedMilliseconds = milliseconds(selection, unreported = 0.0))
    }

    /** A request that arrives behind those in the slots is answered after as many turns as it takes to end them. */
    private fun milliseconds(selection: ServerSelection.Selected, unreported: Double): Double {
        val server = selection.server
        val turns = (selection.load.running + unreported + 1) / server.slots.coerceAtLeast(1)
        return usualMilliseconds(server) * turns.coerceAtLeast(1.0)
    }

    private fun isCalm(choices: List<ServerSelection.Selected>): Boolean {
        var shortest = Double.MAX_VALUE
        var longest = 0.0
        choices.forEach {
            if (it.load.running >= it.server.slots) return false
            shortest = minOf(shortest, it.predictedMilliseconds)
            longest = maxOf(longest, it.predictedMilliseconds)
        }
        return longest <= shortest * EVEN_RATIO
    }

    private fun usedPart(selection: ServerSelection.Selected, request: SelectionRequest): Double {
        val isLocal = selection.server.failureDomain == request.origin
        return selection.load.running.toDouble() / selection.server.slots.coerceAtLeast(1) +
            if (isLocal) 0.0 else REMOTE_PENALTY
    }

    private fun cost(selection: ServerSelection.Selected, request: SelectionRequest): Double {
        val isLocal = selection.server.failureDomain == request.origin
        return selection.predictedMilliseconds * if (isLocal) 1.0 else 1.0 + REMOTE_PENALTY
    }

    /** Requests that the server could begin at once, by their speed; a full server keeps a small chance to be drawn. */
    private fun freeCapacity(selection: ServerSelection.Selected): Double {
        val free = (selection.server.slots - selection.load.running).toDouble().coerceAtLeast(FULL_SLOTS)
        return free / usualMilliseconds(selection.server).coerceAtLeast(1.0)
    }

    /** Requests of other routers to the pool of [server] that are still in progress and in no report yet. */
    private fun unreportedRequests(server: BackendEntry, now: Timestamp): Double {
        val times = statistics.serviceTimes(server.pool)
        val seconds = minOf(statistics.reportDelaySeconds(), times.poolMilliseconds / MILLISECONDS_PER_SECOND)
        return times.ratePerSecond(now) * (statistics.routers() - 1).coerceAtLeast(0) * seconds
    }

    private fun draw(choices: List<ServerSelection.Selected>, capacities: List<Double>): ServerSelection.Selected {
        var left = statistics.random() * capacities.sum()
        capacities.forEachIndexed { index, capacity ->
            left -= capacity
            if (left <= 0) return choices[index]
        }
        return choices.last()
    }

    private companion object {
        /** Part by which a local server may be more loaded, or later, than one of another failure domain. */
        const val REMOTE_PENALTY = 0.1

        /** Ratio of the times of two servers up to which chance may explain it. */
        const val EVEN_RATIO = 1.5

        /** Slots that a full server counts as having free. */
        const val FULL_SLOTS = 0.25
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
