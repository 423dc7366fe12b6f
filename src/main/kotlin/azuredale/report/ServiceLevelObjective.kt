package azuredale.report

import azuredale.configuration.Objective
import azuredale.identity.PoolId

/**
 * Service-level objective (SLO) for requests, with the thresholds of its burn-rate alerts.
 *
 * @property firstTokenMicroseconds longest time to the first token or response that meets the objective.
 * @property betweenTokensMicroseconds longest mean time between tokens that meets the objective.
 * @property goodFraction fraction of requests that must succeed and meet both limits; the rest is the error budget.
 * @property fastAlertRate burn rate over both 5 minutes and 1 hour at which the fast alert fires.
 * @property slowAlertRate burn rate over both 30 minutes and 6 hours at which the slow alert fires.
 */
public data class ServiceLevelObjective(
    val firstTokenMicroseconds: Long = 1_200_000,
    val betweenTokensMicroseconds: Long = 42_000,
    val goodFraction: Double = 0.99,
    val fastAlertRate: Double = 14.4,
    val slowAlertRate: Double = 6.0,
) {
    /** Burn rate of [counts]; a constant rate of 1 consumes the error budget exactly over the objective's period. */
    internal fun burnRate(counts: WindowCounts): Double =
        if (counts.ended == 0L) 0.0 else counts.bad.toDouble() / counts.ended / (1 - goodFraction)

    public companion object {
        private const val MICROSECONDS_PER_MILLISECOND = 1_000L
        private const val PERCENT = 100.0

        /** An objective of 100 percent would leave no error budget and divide by zero in [burnRate]. */
        private const val LARGEST_GOOD_FRACTION = 0.9999

        /** Objective of pools that have none in the document. */
        public val DEFAULT: ServiceLevelObjective = of(Objective(PoolId("default")))

        /** Creates an objective from the document's [objective] and the default alert thresholds. */
        public fun of(objective: Objective): ServiceLevelObjective = ServiceLevelObjective(
            firstTokenMicroseconds = objective.firstTokenMilliseconds * MICROSECONDS_PER_MILLISECOND,
            betweenTokensMicroseconds = objective.betweenTokensMilliseconds * MICROSECONDS_PER_MILLISECOND,
            goodFraction = (objective.percent / PERCENT).coerceAtMost(LARGEST_GOOD_FRACTION),
        )
    }
}

/** Request counts of a time window; a failed request is not also counted as [missed]. */
public data class WindowCounts(
    val ended: Long,
    val missed: Long,
    val failed: Long,
) {
    /** Requests that consume error budget. */
    public val bad: Long get() = missed + failed

    internal operator fun plus(other: WindowCounts) =
        WindowCounts(ended + other.ended, missed + other.missed, failed + other.failed)

    internal operator fun minus(other: WindowCounts) =
        WindowCounts(ended - other.ended, missed - other.missed, failed - other.failed)

    internal companion object {
        val ZERO = WindowCounts(0, 0, 0)
    }
}

/** Result and latencies of a finished request, as the burn-rate report counts them. */
public data class EndedRequest(
    val hasFailed: Boolean,
    val firstTokenMicroseconds: Long? = null,
    val betweenTokensMicroseconds: Long? = null,
)
