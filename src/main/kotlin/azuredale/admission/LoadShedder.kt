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
 * Predicted time to the first event of a request.
 *
 * @property milliseconds at the server that was selected for the request.
 * @property meanMilliseconds mean of all servers that may take the request. Routers with older loads than others find a
 *   server that seems idle, so the mean shows better whether the pool has room.
 */
internal data class LatencyPrediction(
    val milliseconds: Double,
    val meanMilliseconds: Double = milliseconds,
)

/**
 * Sheds requests that are predicted to miss their latency target, so that servers do no work on late requests.
 *
 * Engines process requests in order of arrival, so the queueing delay can only be bounded before a request is sent.
 * While the predicted time to the first event is well within the target, all requests are admitted. Beyond that,
 * [ShareGate] thins out the requests of teams that ask for more than their max-min fair share, and those teams are
 * refused at a lower prediction, the lower the more they exceed it. A team within its share is refused only when its
 * request would miss the target.
 *
 * @param jitter returns a random number from 0 to 1 that adds jitter to retry times.
 */
internal class LoadShedder(
    private val shares: FairShares,
    private val jitter: () -> Double,
) {
    private val gate = ShareGate(shares, jitter)

    /** Returns null if [request] is admitted, otherwise the failure to return to the caller. */
    fun decide(request: AdmissionRequest, prediction: LatencyPrediction, now: Timestamp): Failure? = judge(
        request = request,
        prediction = prediction,
        mayAdmit = { gate.mayAdmit(it, request.tokens, now) },
        onAdmitted = { gate.recordAdmitted(it, request.tokens) },
        now = now,
    )

    /** What [decide] would return; has no effect. */
    fun preview(request: AdmissionRequest, prediction: LatencyPrediction, now: Timestamp): Failure? = judge(
        request = request,
        prediction = prediction,
        mayAdmit = { !gate.isExhausted(it, now) },
        onAdmitted = {},
        now = now,
    )

    private fun judge(
        request: AdmissionRequest,
        prediction: LatencyPrediction,
        mayAdmit: (TeamId) -> Boolean,
        onAdmitted: (TeamId) -> Unit,
        now: Timestamp,
    ): Failure? {
        val team = request.team
        val ratio = team?.let { shareRatio(it, request.tokens, now) } ?: 1.0
        val slack = request.onTimeUntil.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        val isRetry = slack < request.targetMilliseconds
        if (isIdle(request, prediction)) return null
        val limit = limitMilliseconds(request, ratio, slack, isRetry, now)
        val isThinnedOut = team != null && !mayAdmit(team)
        if (!isThinnedOut && prediction.milliseconds <= limit) {
            if (team != null) onAdmitted(team)
            return null
        }
        val kind = if (isThinnedOut || ratio > 1.0) ErrorKind.SHARE_EXCEEDED else ErrorKind.PREDICTED_LATE
        val excess = (prediction.milliseconds - limit).coerceAtLeast(0.0)
        return Failure(
            kind,
            detail(team, prediction, limit, ratio, now),
            retryAt(request, excess, slack, now),
        )
    }

    /** Whether [decide] would refuse [request] because its team asks for more than its share. */
    fun isThinnedOut(request: AdmissionRequest, prediction: LatencyPrediction, now: Timestamp): Boolean =
        request.team != null && !isIdle(request, prediction) && gate.isExhausted(request.team, now)

    private fun isIdle(request: AdmissionRequest, prediction: LatencyPrediction): Boolean {
        val idle = request.targetMilliseconds * MINIMUM_FRACTION
        return prediction.milliseconds <= idle && prediction.meanMilliseconds <= idle
    }

    private fun detail(
        team: TeamId?,
        prediction: LatencyPrediction,
        limit: Double,
        ratio: Double,
        now: Timestamp,
    ): String {
        val predicted =
            "predicted ${prediction.milliseconds.toLong()} ms, mean ${prediction.meanMilliseconds.toLong()} ms"
        val fraction = team?.let { percent(gate.fraction(it, now)) } ?: WHOLE
        return "$predicted, limit ${limit.toLong()} ms, share ${percent(ratio)} %, admits $fraction %"
    }

    /** Usage of [team] relative to its fair share once [tokens] are added; above 1 the team exceeds its share. */
    fun shareRatio(team: TeamId, tokens: Int, now: Timestamp): Double {
        val current = shares.current(now)
        val fairShare = current.fairShare
        if (fairShare.isInfinite() || fairShare <= 0.0) return 0.0
        return (current.usageOf(team).granted + tokens) / fairShare.coerceAtLeast(tokens.toDouble())
    }

    /** Whether [team] asks for more than its fair share. */
    private fun isContending(team: TeamId?, now: Timestamp): Boolean {
        val current = shares.current(now)
        return team != null && current.usageOf(team).requested > current.fairShare
    }

    private fun limitMilliseconds(
        request: AdmissionRequest,
        ratio: Double,
        slack: Double,
        isRetry: Boolean,
        now: Timestamp,
    ): Double {
        val target = request.targetMilliseconds.toDouble()
        val isContending = isContending(request.team, now)
        val fraction =
            when {
                ratio <= LOW_SHARE_RATIO -> LOW_SHARE_FRACTION
                isContending ->
                    (CONTENDING_FRACTION - (ratio - 1.0) * EXCESS_SLOPE).coerceIn(MINIMUM_FRACTION, LOW_SHARE_FRACTION)
                else -> WITHIN_SHARE_FRACTION
            }
        // A retry gains little from waiting further, and a second refusal would probably end it, so the time that is
        // left of its target does not lower the limit. A team that asks for too much gains nothing by retrying.
        return if (isRetry) {
            target * fraction * if (isContending) 1.0 else RETRY_LIMIT_FACTOR
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
        val longest = maxOf(remaining * RetryTime.MAXIMUM_WAIT_FRACTION, RetryTime.MINIMUM_WAIT_MILLISECONDS)
        val early = excess + jitter() * request.targetMilliseconds * EARLY_JITTER
        // A retry that can still meet the target comes early; any other is spread over the caller's remaining time.
        if (early >= slack * EARLY_FRACTION) return RetryTime.at(remaining.toLong(), jitter(), now)
        val wait = early.coerceIn(RetryTime.MINIMUM_WAIT_MILLISECONDS, longest)
        return now.plusMicroseconds((wait * Timestamp.MICROSECONDS_PER_MILLISECOND).toLong())
    }

    private fun percent(ratio: Double) = (ratio * 100).toInt()

    private companion object {
        /** Fractions of the target up to which a prediction is accepted; the margin covers prediction errors. */
        const val WITHIN_SHARE_FRACTION = 0.85
        const val LOW_SHARE_RATIO = 0.5
        const val LOW_SHARE_FRACTION = 1.1
        const val MINIMUM_FRACTION = 0.35

        /** Lower than that of teams within their share, which find room although others ask for too much. */
        const val CONTENDING_FRACTION = 0.65
        const val WHOLE = 100

        /** At more than one and a half times its fair share a team reaches the smallest fraction. */
        const val EXCESS_SLOPE = 0.5

        /** Raises the limit for retries, which are recognized by a target that is partly used up. */
        const val RETRY_LIMIT_FACTOR = 1.2
        const val EARLY_JITTER = 0.2
        const val EARLY_FRACTION = 0.4
    }
}
