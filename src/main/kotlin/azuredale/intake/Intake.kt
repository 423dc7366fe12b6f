package azuredale.intake

import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CompletableDeferred

/** What becomes of a request that has waited for its turn. */
internal enum class IntakeDecision {
    /** It is this request's turn. */
    START,

    /** The router has fallen too far behind to start the request in time. */
    OVERLOADED,

    /** The caller has disconnected. */
    CALLER_GONE,
}

/**
 * Lets requests start one after the other, and reads the sockets in between.
 *
 * A request starts after the sockets have been read once more, so that a router that reads late notices which callers
 * have disconnected before it sends their requests to a server. The event loop runs due timers right after it has read
 * the sockets, so a timer may run in the same round in which a request was read; all sockets have been read again only
 * when a second timer, set by the first one, runs.
 *
 * @param schedule runs an action at a given time; an action that is set by another one runs after the sockets have been
 *   read again.
 */
internal class Intake(
    private val clock: Clock,
    private val schedule: (Timestamp, () -> Unit) -> Unit,
) {
    private val queue = IntakeQueue()
    private val runningTime = RunningTime(clock)

    /** Requests read since the last timer ran. */
    private var arrivals = LinkedHashSet<WaitingRequest>()

    /** Requests read before the last timer ran, and since the one before it. */
    private var earlierArrivals = LinkedHashSet<WaitingRequest>()

    /** All requests that wait, by group, in the order in which they were read. */
    private val pending = HashMap<String, LinkedHashMap<WaitingRequest, Pending>>()
    private var isScheduled = false
    private var expectedTickAt = Timestamp.DISTANT_FUTURE
    private var lastLagMicroseconds = 0L
    private var lateUntil = Timestamp.DISTANT_PAST

    /** Number of requests that wait for their turn. */
    val waiting: Int get() = queue.size + arrivals.size + earlierArrivals.size

    /** Records periodic work that runs after each reading of the sockets; the next one is due at [nextAt]. */
    fun recordTick(nextAt: Timestamp) {
        val now = clock()
        lastLagMicroseconds = lagMicroseconds(now)
        if (lastLagMicroseconds >= LATE_MICROSECONDS) lateUntil = now.plusMilliseconds(LATE_HOLD_MILLISECONDS)
        expectedTickAt = nextAt
    }

    /** How much later than due the periodic work is at [now], in microseconds. */
    fun lagMicroseconds(now: Timestamp): Long = now.microsecondsSince(expectedTickAt).coerceAtLeast(0)

    /**
     * Whether this router is or recently was late at [now], so that the times it measures say little of the servers.
     *
     * Besides its own delay, it has read the loads that others report late, and so expected shorter queues.
     */
    fun isLate(now: Timestamp): Boolean = now < lateUntil || lagMicroseconds(now) >= LATE_MICROSECONDS

    /**
     * Longest time that a request that is read at [now] may have waited unread, in microseconds.
     *
     * A new connection waits in the same queue as the periodic work until it is read for the first time, so a request
     * that is read after that work may have waited for as long as it was late.
     */
    fun unreadMicroseconds(now: Timestamp): Long = maxOf(lagMicroseconds(now), lastLagMicroseconds)

    /**
     * Whether requests of [group] wait for so long that another one had better be refused at once.
     *
     * A request that is refused after it was read and has waited costs several times as much as one that is refused
     * unread. Under a flood that time is missing for the requests that could start. Requests that only wait because the
     * process stood still can start now, so such pauses do not count.
     */
    fun isBehind(group: String): Boolean {
        val now = runningTime.now()
        val oldest = pending[group]?.values?.firstOrNull() ?: return false
        return now > oldest.since.plusMilliseconds(MAXIMUM_DELAY_MILLISECONDS)
    }

    /** Waits until [request] may start or is given up. */
    suspend fun awaitTurn(request: WaitingRequest): IntakeDecision {
        val decision = CompletableDeferred<IntakeDecision>()
        pending.getOrPut(request.group) { LinkedHashMap() }[request] = Pending(runningTime.now(), decision)
        arrivals += request
        scheduleNext()
        return decision.await()
    }

    /** Gives up [request], whose caller has disconnected, if it still waits. */
    fun callerGone(request: WaitingRequest) {
        if (queue.remove(request) || arrivals.remove(request) || earlierArrivals.remove(request)) {
            decide(request, IntakeDecision.CALLER_GONE)
        }
    }

    private fun scheduleNext() {
        if (isScheduled || waiting == 0) return
        isScheduled = true
        schedule(clock().plusMilliseconds(READING_MILLISECONDS), ::startRequests)
    }

    private fun startRequests() {
        isScheduled = false
        runningTime.now()
        earlierArrivals.forEach { request -> queue.add(request)?.let { decide(it, IntakeDecision.OVERLOADED) } }
        earlierArrivals = arrivals
        arrivals = LinkedHashSet()
        val sliceEnd = clock().plusMilliseconds(SLICE_MILLISECONDS)
        queue.removeOverdue(clock()).forEach { decide(it, IntakeDecision.OVERLOADED) }
        while (true) {
            val now = clock()
            val request = queue.next(now) ?: break
            decide(request, IntakeDecision.START)
            runningTime.now()
            if (clock() >= sliceEnd) break
        }
        scheduleNext()
    }

    private fun decide(request: WaitingRequest, decision: IntakeDecision) {
        val group = pending[request.group] ?: return
        val waiting = group.remove(request) ?: return
        if (group.isEmpty()) pending.remove(request.group)
        waiting.decision.complete(decision)
    }

    /** A request that was read at [since], by [runningTime]. */
    private class Pending(
        val since: Timestamp,
        val decision: CompletableDeferred<IntakeDecision>,
    )

    private companion object {
        /** Shortest time of a timer. */
        const val READING_MILLISECONDS = 1L

        /** Time for which requests are started before the sockets are read again. */
        const val SLICE_MILLISECONDS = 20L

        /** A large part of the time that an idle server takes to answer. */
        const val LATE_MICROSECONDS = 50 * Timestamp.MICROSECONDS_PER_MILLISECOND

        /** Longer than a server takes for a request that was sent while the router was late. */
        const val LATE_HOLD_MILLISECONDS = 500L

        /** Half of the shortest latency targets; a router that keeps up starts requests within a few milliseconds. */
        const val MAXIMUM_DELAY_MILLISECONDS = 100L
    }
}
