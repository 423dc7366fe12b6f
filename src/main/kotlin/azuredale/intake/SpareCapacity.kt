package azuredale.intake

import azuredale.time.Timestamp

/**
 * What a router has to do at a moment.
 *
 * @property lagMilliseconds how late its periodic work runs.
 * @property waiting requests that wait for their turn.
 * @property running requests in progress.
 * @property connections open connections of callers, as a fraction of those that may be open.
 */
internal class RouterWork(
    val lagMilliseconds: Long,
    val waiting: Int,
    val running: Int,
    val connections: Double,
)

/**
 * How much of a router's capacity is spare, in quarters, as address answers weigh it.
 *
 * It falls as soon as the router has too much to do, averaged over half a second so that a single pause does not
 * count as a crowd. It rises by one quarter a second, so that the callers who were sent elsewhere come back in parts
 * and do not crowd the router again.
 *
 * @param weight size of the VM in cores.
 */
internal class SpareCapacity(private val weight: Double) {
    private var pressure = 0.0
    private var updatedAt = Timestamp.DISTANT_PAST
    private var changedAt = Timestamp.DISTANT_PAST

    /** Spare quarters of the capacity: 0 for a crowded router, [ALL] for an idle one. */
    var quarters = ALL
        private set

    /**
     * Records the work at [now]; returns whether the router became crowded or is crowded no longer.
     *
     * @param isOverloaded whether the router cannot keep up, in which case it is crowded.
     */
    fun record(work: RouterWork, isOverloaded: Boolean, now: Timestamp): Boolean {
        val elapsed = now.microsecondsSince(updatedAt).coerceIn(0, AVERAGING_MICROSECONDS)
        updatedAt = now
        pressure += (pressureOf(work) - pressure) * elapsed / AVERAGING_MICROSECONDS
        val target = if (isOverloaded) 0 else ((1 - pressure) * ALL + HALF).toInt().coerceIn(0, ALL)
        val before = quarters
        if (target < quarters) {
            quarters = target
        } else if (target > quarters && now >= changedAt.plusMilliseconds(RISE_MILLISECONDS)) {
            quarters++
        }
        if (quarters != before || target == 0) changedAt = now
        return (quarters == 0) != (before == 0)
    }

    /** Work relative to what the router can bear; 1 if it can bear no more. */
    private fun pressureOf(work: RouterWork): Double = maxOf(
        work.lagMilliseconds / LAG_MILLISECONDS,
        work.waiting / (WAITING_PER_CORE * weight),
        work.running / (RUNNING_PER_CORE * weight),
        work.connections,
    ).coerceIn(0.0, 1.0)

    companion object {
        /** Quarters of an idle router. */
        const val ALL = 4
        private const val HALF = 0.5

        /** Half of the shortest latency targets. */
        private const val LAG_MILLISECONDS = 100.0

        /** Requests that a core starts within half of the shortest latency targets. */
        private const val WAITING_PER_CORE = 50.0

        /** Streams whose events a core forwards at twenty events a second each. */
        private const val RUNNING_PER_CORE = 500.0
        private const val AVERAGING_MICROSECONDS = 500L * Timestamp.MICROSECONDS_PER_MILLISECOND

        /** Callers ask for addresses every second, so that each step shows its effect before the next one. */
        private const val RISE_MILLISECONDS = 1_000L
    }
}
