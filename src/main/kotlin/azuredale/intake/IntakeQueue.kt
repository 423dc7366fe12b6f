package azuredale.intake

import azuredale.time.Timestamp

/**
 * A request that has been read completely and waits for its turn at this router.
 *
 * @property group requests of one group are served in turn with those of other groups; the caller's key.
 * @property arrivedAt earliest time at which the request may have arrived.
 * @property startBy time after which the request is refused rather than started.
 * @property cost processor time that the request takes of this router, relative to a request with a short answer.
 */
internal class WaitingRequest(
    val group: String,
    val arrivedAt: Timestamp,
    val startBy: Timestamp,
    val cost: Double = 1.0,
)

/**
 * Order in which a router serves the requests that it has read.
 *
 * While requests wait, each group gets the same part of the router's time: the next turn is that of the group whose
 * requests have cost least, counted from when it began to wait. So neither a flood with one key nor a few requests with
 * long streams delay those with other keys. While a router keeps up, a group's requests are served in order of arrival.
 * When they wait for too long, the newest one goes first: the oldest ones are late already, and serving them would make
 * all others late too.
 */
internal class IntakeQueue {
    private class Group(var cost: Double) {
        val waiting = ArrayDeque<WaitingRequest>()
    }

    private val groups = LinkedHashMap<String, Group>()

    /** Costs of the groups of which no request waits, as far as they exceed [servedCost]. */
    private val idleCosts = HashMap<String, Double>()

    /** Cost of the group that was served last, before its turn. */
    private var servedCost = 0.0

    /** Number of waiting requests. */
    var size = 0
        private set

    /** Adds [request]; returns the request that has to give way to it if the queue is full. */
    fun add(request: WaitingRequest): WaitingRequest? {
        val group =
            groups.getOrPut(request.group) { Group(maxOf(servedCost, idleCosts.remove(request.group) ?: servedCost)) }
        group.waiting.addLast(request)
        size++
        if (size <= MAXIMUM_WAITING) return null
        val oldest =
            groups.values
                .maxBy { it.waiting.size }
                .waiting
                .first()
        remove(oldest)
        return oldest
    }

    /** Removes [request], for example because its caller has disconnected; returns whether it was waiting. */
    fun remove(request: WaitingRequest): Boolean {
        val group = groups[request.group] ?: return false
        if (!group.waiting.remove(request)) return false
        removed(request.group, group)
        return true
    }

    /** Removes and returns the requests that can no longer be started in time. */
    fun removeOverdue(now: Timestamp): List<WaitingRequest> {
        if (size == 0) return emptyList()
        val overdue = groups.values.flatMap { group -> group.waiting.filter { it.startBy <= now } }
        overdue.forEach(::remove)
        return overdue
    }

    /** Removes and returns the request to serve next, or null if none is waiting. */
    fun next(now: Timestamp): WaitingRequest? {
        val (name, group) = groups.entries.minByOrNull { it.value.cost } ?: return null
        val waiting = group.waiting
        val isBehind = now > waiting.first().arrivedAt.plusMilliseconds(MAXIMUM_ORDERED_DELAY_MILLISECONDS)
        val request = if (isBehind) waiting.removeLast() else waiting.removeFirst()
        servedCost = group.cost
        group.cost += request.cost
        removed(name, group)
        return request
    }

    private fun removed(name: String, group: Group) {
        size--
        if (group.waiting.isNotEmpty()) return
        groups.remove(name)
        if (groups.isEmpty()) {
            idleCosts.clear()
            servedCost = 0.0
            return
        }
        idleCosts.values.removeIf { it <= servedCost }
        if (group.cost > servedCost && idleCosts.size < MAXIMUM_WAITING) idleCosts[name] = group.cost
    }

    private companion object {
        /** Bounds memory to a few megabytes; a router serves fewer requests within the longest wait. */
        const val MAXIMUM_WAITING = 512

        /** A small part of the shortest latency targets, and more than the usual pauses of a router. */
        const val MAXIMUM_ORDERED_DELAY_MILLISECONDS = 100L
    }
}
