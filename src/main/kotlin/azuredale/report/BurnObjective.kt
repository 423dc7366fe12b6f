package azuredale.report

import azuredale.configuration.Objective
import azuredale.identity.PoolId

/**
 * Service-level objective of requests and the alerts on it.
 *
 * @property firstTokenMicroseconds a request whose first token or response takes longer misses the objective.
 * @property betweenTokensMicroseconds a request whose mean time between tokens is longer misses it too.
 * @property goodFraction fraction of requests that must neither miss nor fail; the rest is the error budget.
 * @property fastRate burn rate over 5 minutes and 1 hour that raises the fast alert.
 * @property slowRate burn rate over 30 minutes and 6 hours that raises the slow alert.
 */
public data class BurnObjective(
    val firstTokenMicroseconds: Long = 1_200_000,
    val betweenTokensMicroseconds: Long = 42_000,
    val goodFraction: Double = 0.99,
    val fastRate: Double = 14.4,
    val slowRate: Double = 6.0,
) {
    /** How fast [counts] use up the error budget; 1 uses it up exactly over the period of the objective. */
    internal fun burnRate(counts: WindowCounts): Double =
        if (counts.ended == 0L) 0.0 else counts.bad.toDouble() / counts.ended / (1 - goodFraction)

    public companion object {
        private const val MICROSECONDS_PER_MILLISECOND = 1_000L
        private const val PERCENT = 100.0

        /** An objective of 100 percent would leave no error budget to burn. */
        private const val LARGEST_GOOD_FRACTION = 0.9999

        /** Objective of pools for which the document states none. */
        public val DEFAULT: BurnObjective = of(Objective(PoolId("default")))

        /** The document's [objective] with the default alerts. */
        public fun of(objective: Objective): BurnObjective = BurnObjective(
            firstTokenMicroseconds = objective.firstTokenMilliseconds * MICROSECONDS_PER_MILLISECOND,
            betweenTokensMicroseconds = objective.betweenTokensMilliseconds * MICROSECONDS_PER_MILLISECOND,
            goodFraction = (objective.percent / PERCENT).coerceAtMost(LARGEST_GOOD_FRACTION),
        )
    }
}

/** Requests in a window; [missed] and [failed] do not overlap. */
public data class WindowCounts(
    val ended: Long,
    val missed: Long,
    val failed: Long,
) {
    /** Requests that use up the error budget. */
    public val bad: Long get() = missed + failed

    internal operator fun plus(other: WindowCounts) =
        WindowCounts(ended + other.ended, missed + other.missed, failed + other.failed)

    internal operator fun minus(other: WindowCounts) =
        WindowCounts(ended - other.ended, missed - other.missed, failed - other.failed)

    internal companion object {
        val ZERO = WindowCounts(0, 0, 0)
    }
}

/** How a request ended, for the burn report. */
public data class EndedRequest(
    val hasFailed: Boolean,
    val firstTokenMicroseconds: Long? = null,
    val betweenTokensMicroseconds: Long? = null,
)
