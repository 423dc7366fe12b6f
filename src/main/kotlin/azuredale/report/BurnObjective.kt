package azuredale.report

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
