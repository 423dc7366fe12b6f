package azuredale.admission

import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/**
 * A request whose admission is to be decided.
 *
 * @property tokens its size in the unit of shares: prompt tokens and twice the expected output.
 * @property targetMilliseconds time from its first arrival within which its first event is on time.
 * @property onTimeUntil when that time ends; a request that returns after a refusal has used up part of it.
 * @property deadline when its caller gives up.
 */
internal data class Demand(
    val team: TeamId?,
    val targetMilliseconds: Long,
    val onTimeUntil: Timestamp,
    val deadline: Timestamp,
    val tokens: Int = 0,
)

/**
 * Refuses at once what cannot be served in time, so that servers do not work on what comes too late.
 *
 * Engines admit in order of arrival, so waiting can only be bounded before a request is sent. While the predicted first
 * event of a request is well within its target everything is admitted. As the prediction nears the target, teams that
 * have had more than their max-min share are refused first, and the more they exceed it the sooner; a team within its
 * share is refused only when its request would be late.
 *
 * @param spread a random number from 0 to 1, by which returns are spread over time.
 */
internal class OverloadAdmission(
    private val usage: TeamUsage,
    private val spread: () -> Double,
) {
    /** Null when [demand] is admitted, else the failure to answer. */
    fun decide(demand: Demand, predictedMilliseconds: Double, now: Timestamp): Failure? {
        val ratio = demand.team?.let { shareRatio(it, demand.tokens, now) } ?: 1.0
        val left = demand.onTimeUntil.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        val isReturned = left < demand.targetMilliseconds
        val limit = limitMilliseconds(demand, ratio, left, isReturned)
        if (predictedMilliseconds <= limit) return null
        val kind = if (ratio > 1.0) ErrorKind.SHARE_EXCEEDED else ErrorKind.PREDICTED_LATE
        val detail = "predicted ${predictedMilliseconds.toLong()} ms, limit ${limit.toLong()} ms, share ${percent(
            ratio,
        )} %"
        return Failure(kind, detail, retryAt(demand, predictedMilliseconds - limit, left, now))
    }

    /** How much of its fair share [team] has with another [tokens]: above 1 it has more than the others get. */
    fun shareRatio(team: TeamId, tokens: Int, now: Timestamp): Double {
        val fleet = usage.fleet(now)
        val level = FairShare.level(fleet.values.map { it.asked }, fleet.values.sumOf { it.given })
        if (level.isInfinite() || level <= 0.0) return 0.0
        val given = fleet[TeamUsage.number(team)]?.given ?: 0
        return (given + tokens) / level.coerceAtLeast(tokens.toDouble())
    }

    private fun limitMilliseconds(demand: Demand, ratio: Double, left: Double, isReturned: Boolean): Double {
        val target = demand.targetMilliseconds.toDouble()
        val part =
            when {
                ratio <= LOW_RATIO -> LOW_SHARE_PART
                ratio <= 1.0 -> WITHIN_SHARE_PART
                else -> (WITHIN_SHARE_PART - (ratio - 1.0) * EXCESS_SLOPE).coerceAtLeast(SMALLEST_PART)
            }
        // A request that is late already gains little more by waiting, but a second refusal would end it.
        return if (isReturned) {
            target * part * RETURNED_FACTOR
        } else {
            minOf(
                target * part,
                maxOf(
                    left,
                    target * SMALLEST_PART,
                ),
            )
        }
    }

    private fun retryAt(demand: Demand, excess: Double, left: Double, now: Timestamp): Timestamp {
        val remaining = demand.deadline.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        val longest = remaining * LONGEST_WAIT_PART
        val soon = excess + spread() * demand.targetMilliseconds * SOON_SPREAD
        // Returning within the target is worth most; past it, the return is spread over the time that the caller has.
        val wait = if (soon < left * SOON_PART) soon else longest * (LATE_BASE + (1 - LATE_BASE) * spread())
        val bounded = wait.coerceIn(SHORTEST_WAIT_MILLISECONDS, maxOf(longest, SHORTEST_WAIT_MILLISECONDS))
        return now.plusMicroseconds((bounded * Timestamp.MICROSECONDS_PER_MILLISECOND).toLong())
    }

    private fun percent(ratio: Double) = (ratio * 100).toInt()

    private companion object {
        /** Parts of the target up to which a prediction is accepted; the rest covers what a prediction misses. */
        const val WITHIN_SHARE_PART = 0.85
        const val LOW_RATIO = 0.5
        const val LOW_SHARE_PART = 1.1
        const val SMALLEST_PART = 0.35

        /** A team with twice its share is held to the smallest part. */
        const val EXCESS_SLOPE = 0.5

        /** A request that has used up part of its target has been refused before and is let in a little sooner. */
        const val RETURNED_FACTOR = 1.2

        /** Callers honour a wait of up to a third of the time that they have left. */
        const val LONGEST_WAIT_PART = 0.3
        const val SHORTEST_WAIT_MILLISECONDS = 40.0
        const val SOON_SPREAD = 0.2
        const val SOON_PART = 0.4
        const val LATE_BASE = 0.4
    }
}
