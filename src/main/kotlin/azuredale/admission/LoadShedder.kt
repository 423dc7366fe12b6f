package azuredale.admission

import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/**
 * Input of the admission decision for one request.
 *
 * @property tokens cost of the request in fair-share accounting: prompt tokens plus twice the expected output tokens.
 * @property targetMilliseconds latency target for the first event, counted from the caller's first attempt.
 * @property onTimeUntil when the latency target expires; a retry after a refusal has already used part of it.
 * @property deadline when the caller stops waiting.
 */
internal data class AdmissionRequest(
    val team: TeamId?,
    val targetMilliseconds: Long,
    val onTimeUntil: Timestamp,
    val deadline: Timestamp,
    val tokens: Int = 0,
)

/**
 * Sheds requests that are predicted to miss their latency target, so that servers do no work on late requests.
 *
 * Engines process requests in order of arrival, so the queueing delay can only be bounded before a request is sent.
 * While the predicted time to the first event is well within the target, all requests are admitted. As the prediction
 * approaches the target, teams above their max-min fair share are refused first, the earlier the more they exceed it. A
 * team within its share is refused only when its request would miss the target.
 *
 * @param jitter returns a random number from 0 to 1 that adds jitter to retry times.
 */
internal class LoadShedder(
    private val shares: FairShares,
    private val jitter: () -> Double,
) {
    /** Returns null if [request] is admitted, otherwise the failure to return to the caller. */
    fun decide(request: AdmissionRequest, predictedMilliseconds: Double, now: Timestamp): Failure? {
        val ratio = request.team?.let { shareRatio(it, request.tokens, now) } ?: 1.0
        val slack = request.onTimeUntil.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        val isRetry = slack < request.targetMilliseconds
        val limit = limitMilliseconds(request, ratio, slack, isRetry)
        if (predictedMilliseconds <= limit) return null
        val kind = if (ratio > 1.0) ErrorKind.SHARE_EXCEEDED else ErrorKind.PREDICTED_LATE
        val detail =
            "predicted ${predictedMilliseconds.toLong()} ms, limit ${limit.toLong()} ms, share ${percent(ratio)} %"
        return Failure(kind, detail, retryAt(request, predictedMilliseconds - limit, slack, now))
    }

    /** Usage of [team] relative to its fair share once [tokens] are added; above 1 the team exceeds its share. */
    fun shareRatio(team: TeamId, tokens: Int, now: Timestamp): Double {
        val current = shares.current(now)
        val fairShare = current.fairShare
        if (fairShare.isInfinite() || fairShare <= 0.0) return 0.0
        return (current.usageOf(team).granted + tokens) / fairShare.coerceAtLeast(tokens.toDouble())
    }

    private fun limitMilliseconds(request: AdmissionRequest, ratio: Double, slack: Double, isRetry: Boolean): Double {
        val target = request.targetMilliseconds.toDouble()
        val fraction =
            when {
                ratio <= LOW_SHARE_RATIO -> LOW_SHARE_FRACTION
                ratio <= 1.0 -> WITHIN_SHARE_FRACTION
                else -> (WITHIN_SHARE_FRACTION - (ratio - 1.0) * EXCESS_SLOPE).coerceAtLeast(MINIMUM_FRACTION)
            }
        // A retry gains little from waiting further, and a second refusal would probably end it, so the time that is
        // left of its target does not lower the limit.
        return if (isRetry) {
            target * fraction * RETRY_LIMIT_FACTOR
        } else {
            minOf(
                target * fraction,
                maxOf(
                    slack,
                    target * MINIMUM_FRACTION,
                ),
            )
        }
    }

    private fun retryAt(request: AdmissionRequest, excess: Double, slack: Double, now: Timestamp): Timestamp {
        val remaining = request.deadline.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        val longest = remaining * MAXIMUM_WAIT_FRACTION
        val early = excess + jitter() * request.targetMilliseconds * EARLY_JITTER
        // A retry that can still meet the target comes early; any other is spread over the caller's remaining time.
        val wait = if (early < slack * EARLY_FRACTION) early else longest * (LATE_BASE + (1 - LATE_BASE) * jitter())
        val boundedWait = wait.coerceIn(MINIMUM_WAIT_MILLISECONDS, maxOf(longest, MINIMUM_WAIT_MILLISECONDS))
        return now.plusMicroseconds((boundedWait * Timestamp.MICROSECONDS_PER_MILLISECOND).toLong())
    }

    private fun percent(ratio: Double) = (ratio * 100).toInt()

    private companion object {
        /** Fractions of the target up to which a prediction is accepted; the margin covers prediction errors. */
        const val WITHIN_SHARE_FRACTION = 0.85
        const val LOW_SHARE_RATIO = 0.5
        const val LOW_SHARE_FRACTION = 1.1
        const val MINIMUM_FRACTION = 0.35

        /** At twice its fair share a team reaches the smallest fraction. */
        const val EXCESS_SLOPE = 0.5

        /** Raises the limit for retries, which are recognized by a target that is partly used up. */
        const val RETRY_LIMIT_FACTOR = 1.2

        /** Callers honour a retry time of up to a third of their remaining time. */
        const val MAXIMUM_WAIT_FRACTION = 0.3
        const val MINIMUM_WAIT_MILLISECONDS = 40.0
        const val EARLY_JITTER = 0.2
        const val EARLY_FRACTION = 0.4
        const val LATE_BASE = 0.4
    }
}
