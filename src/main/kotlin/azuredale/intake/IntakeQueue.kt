package azuredale.intake

import azuredale.time.Timestamp

/**
 * A request that has been read completely and waits for its turn at this router.
 *
 * @property group requests of one group are served in turn with those of other groups; the caller's key.
 * @property arrivedAt earliest time at which the request may have arrived.
 * @property startBy time after which the request is refused rather than started.
 */
internal class WaitingRequest(
    val group: String,
    val arrivedAt: Timestamp,
    val startBy: Timestamp,
)

/**
 * Order in which a router serves the requests that it has read.
 *
 * The groups take turns, so that a flood with one key delays only requests with that key. While a router keeps up, a
 * group's requests are served in order of arrival. When they wait for too long, the newest one goes first: the oldest
 * ones are late already, and serving them would make all others late too.
 */
internal class IntakeQueue {
    private val groups = LinkedHashMap<String, ArrayDeque<WaitingRequest>>()

    /** Number of waiting requests. */
    var size = 0
        private set

    /** Adds [request]; returns the request that has to give way to it if the queue is full. */
    fun add(request: WaitingRequest): WaitingRequest? {
        groups.getOrPut(request.group) { ArrayDeque() }.addLast(request)
        size++
        if (size <= MAXIMUM_WAITING) return null
        val oldest = groups.values.maxBy { it.size }.first()
        remove(oldest)
        return oldest
    }

    /** Removes [request], for example because its caller has disconnected; returns whether it was waiting. */
    fun remove(request: WaitingRequest): Boolean {
        val waiting = groups[request.group] ?: return false
        if (!waiting.remove(request)) return false
        size--
        if (waiting.isEmpty()) groups.remove(request.group)
        return true
    }

    /** Removes and returns the requests that can no longer be started in time. */
    fun removeOverdue(now: Timestamp): List<WaitingRequest> {
        if (size == 0) return emptyList()
        val overdue = groups.values.flatMap { waiting -> waiting.filter { it.startBy <= now } }
        overdue.forEach(::remove)
        return overdue
    }

    /** Removes and returns the request to serve next, or null if none is waiting. */
    fun next(now: Timestamp): WaitingRequest? {
        val (group, waiting) = groups.entries.firstOrNull() ?: return null
        val isBehind = now > waiting.first().arrivedAt.plusMilliseconds(MAXIMUM_ORDERED_DELAY_MILLISECONDS)
        val request = if (isBehind) waiting.removeLast() else waiting.removeFirst()
        size--
        // The group's next request waits until all other groups had their turn.
        groups.remove(group)
        if (waiting.isNotEmpty()) groups[group] = waiting
        return request
    }

    private companion object {
        /** Bounds memory to a few megabytes; a router serves fewer requests within the longest wait. */
        const val MAXIMUM_WAITING = 512

        /** A small part of the shortest latency targets, and more than the usual pauses of a router. */
        const val MAXIMUM_ORDERED_DELAY_MILLISECONDS = 100L
    }
}
