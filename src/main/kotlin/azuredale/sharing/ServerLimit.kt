package azuredale.sharing

import azuredale.time.Timestamp

/**
 * Number of requests that an allotter may have in flight at one backend server.
 *
 * The limit falls at once to what the server runs when its reports show more waiting requests than [lookAhead], and
 * rises by one per report while fewer wait. It never passes the document's slots.
 */
internal class ServerLimit(
    slots: Int,
    private val lookAhead: Int,
) {
    var slots: Int = slots
        private set

    /** Present limit, between 1 and [slots]; zero for a server without slots. */
    var limit: Int = slots
        private set

    /** Measured speed in the pool's cost unit per second; zero until the first measurement. */
    var speed: Double = 0.0
        private set

    private var best = 0.0
    private var observedAt = Timestamp.DISTANT_PAST
    private var receivedAt = Timestamp.DISTANT_PAST
    private var peak = 0
    private var previousPeak = 0
    private val foreign = ArrayDeque<Int>()

    /** Adopts the slots of a new document; a limit that was at the old bound follows it. */
    fun resize(count: Int) {
        limit = if (limit == slots) count else limit.coerceIn(minOf(1, count), count)
        slots = count
    }

    /** Requests that may be added to [inFlight] at [now]. */
    fun free(inFlight: Int, now: Timestamp): Int = limit - inFlight - foreignLoad(now)

    /** Remembers the largest number in flight, to tell late reports of own requests from those of others. */
    fun inFlightChanged(inFlight: Int) {
        peak = maxOf(peak, inFlight)
    }

    /** Applies a load report; reports older than the last one are ignored. */
    fun reported(report: LoadReport, inFlight: Int, now: Timestamp) {
        if (report.observedAt <= observedAt || slots == 0) return
        observedAt = report.observedAt
        receivedAt = now
        recordForeign(report, inFlight)
        recordSpeed(report)
        val isSlow = report.running >= (limit + 1) / 2 && report.unitsPerSecond < SLOW_FRACTION * best
        limit =
            when {
                report.waiting > lookAhead -> minOf(limit, report.running + lookAhead)
                isSlow -> if (limit > slots / 2) limit - 1 else limit
                report.waiting < maxOf(1, lookAhead) -> limit + 1
                else -> limit
            }.coerceIn(1, slots)
    }

    /** Measures the speed from an ended request while no report has given one. */
    fun settled(cost: Double, seconds: Double, inFlight: Int) {
        if (receivedAt > Timestamp.DISTANT_PAST || cost <= 0 || seconds <= 0) return
        val sample = cost / seconds * maxOf(1, inFlight)
        speed = if (speed == 0.0) sample else speed + SPEED_WEIGHT * (sample - speed)
    }

    private fun recordSpeed(report: LoadReport) {
        if (!(report.unitsPerSecond > 0)) return
        speed = if (speed == 0.0) report.unitsPerSecond else speed + SPEED_WEIGHT * (report.unitsPerSecond - speed)
        best = maxOf(best * BEST_DECAY, report.unitsPerSecond)
    }

    /** Requests at the server that this allotter did not grant; the least of several reports, since they lag. */
    private fun foreignLoad(now: Timestamp): Int =
        if (foreign.size < FOREIGN_REPORTS || receivedAt.plusMilliseconds(REPORT_LIFETIME_MILLISECONDS) < now) {
            0
        } else {
            foreign.min()
        }

    private fun recordForeign(report: LoadReport, inFlight: Int) {
        val own = maxOf(peak, previousPeak, inFlight)
        previousPeak = peak
        peak = inFlight
        foreign.addLast(maxOf(0, report.running + report.waiting - own))
        if (foreign.size > FOREIGN_REPORTS) foreign.removeFirst()
    }

    private companion object {
        const val SPEED_WEIGHT = 0.3
        const val SLOW_FRACTION = 0.25
        const val BEST_DECAY = 0.99
        const val FOREIGN_REPORTS = 3
        const val REPORT_LIFETIME_MILLISECONDS = 5_000L
    }
}
