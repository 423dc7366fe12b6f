package azuredale.sharing

import azuredale.time.Timestamp

/**
 * Adaptive concurrency limit of one backend server.
 *
 * When a load report shows more than [lookAhead] waiting requests, the limit drops immediately to the number of running
 * requests plus [lookAhead]. It rises by one per report while fewer wait, and falls by one per report, down to half the
 * slots, while throughput is far below the best measured. It never exceeds the document's slots.
 */
internal class ServerLimit(
    slots: Int,
    private val lookAhead: Int,
) {
    var slots: Int = slots
        private set

    /** Current limit, between 1 and [slots]; zero for a server without slots. */
    var limit: Int = slots
        private set

    /** Measured throughput in cost units of the pool per second; zero until the first measurement. */
    var speed: Double = 0.0
        private set

    private var bestSpeed = 0.0
    private var observedAt = Timestamp.DISTANT_PAST
    private var receivedAt = Timestamp.DISTANT_PAST
    private var peakInFlight = 0
    private var previousPeakInFlight = 0
    private val externalLoads = ArrayDeque<Int>()

    /** Applies the slots of a new document; a limit equal to the old number of slots follows the change. */
    fun resize(count: Int) {
        limit = if (limit == slots) count else limit.coerceIn(minOf(1, count), count)
        slots = count
    }

    /** Number of requests that may be added to [inFlight] at [now]. */
    fun free(inFlight: Int, now: Timestamp): Int = limit - inFlight - externalLoad(now)

    /** Tracks the peak in flight, so that delayed reports of own requests are not taken for load of other allotters. */
    fun inFlightChanged(inFlight: Int) {
        peakInFlight = maxOf(peakInFlight, inFlight)
    }

    /** Applies a load report; reports older than the last one are ignored. */
    fun reported(report: LoadReport, inFlight: Int, now: Timestamp) {
        if (report.observedAt <= observedAt || slots == 0) return
        observedAt = report.observedAt
        receivedAt = now
        recordExternalLoad(report, inFlight)
        recordSpeed(report)
        val isSlow = report.running >= (limit + 1) / 2 && report.unitsPerSecond < SLOW_FRACTION * bestSpeed
        limit =
            when {
                report.waiting > lookAhead -> minOf(limit, report.running + lookAhead)
                isSlow -> if (limit > slots / 2) limit - 1 else limit
                report.waiting < maxOf(1, lookAhead) -> limit + 1
                else -> limit
            }.coerceIn(1, slots)
    }

    /** Estimates the speed from a completed request, as long as no load report has been received. */
    fun settled(cost: Double, seconds: Double, inFlight: Int) {
        if (receivedAt > Timestamp.DISTANT_PAST || cost <= 0 || seconds <= 0) return
        val sample = cost / seconds * maxOf(1, inFlight)
        speed = if (speed == 0.0) sample else speed + SPEED_WEIGHT * (sample - speed)
    }

    private fun recordSpeed(report: LoadReport) {
        if (!(report.unitsPerSecond > 0)) return
        speed = if (speed == 0.0) report.unitsPerSecond else speed + SPEED_WEIGHT * (report.unitsPerSecond - speed)
        bestSpeed = maxOf(bestSpeed * BEST_SPEED_DECAY, report.unitsPerSecond)
    }

    /** Requests at the server not granted by this allotter; the minimum of recent reports, because reports lag. */
    private fun externalLoad(now: Timestamp): Int =
        if (externalLoads.size < EXTERNAL_REPORTS || receivedAt.plusMilliseconds(REPORT_LIFETIME_MILLISECONDS) < now) {
            0
        } else {
            externalLoads.min()
        }

    private fun recordExternalLoad(report: LoadReport, inFlight: Int) {
        val own = maxOf(peakInFlight, previousPeakInFlight, inFlight)
        previousPeakInFlight = peakInFlight
        peakInFlight = inFlight
        externalLoads.addLast(maxOf(0, report.running + report.waiting - own))
        if (externalLoads.size > EXTERNAL_REPORTS) externalLoads.removeFirst()
    }

    private companion object {
        const val SPEED_WEIGHT = 0.3
        const val SLOW_FRACTION = 0.25
        const val BEST_SPEED_DECAY = 0.99
        const val EXTERNAL_REPORTS = 3
        const val REPORT_LIFETIME_MILLISECONDS = 5_000L
    }
}
