package azuredale.admission

import azuredale.gateway.PromptShape
import azuredale.identity.TeamId
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Admission control for prompts; records the usage of each team. */
internal class PromptAdmission(
    private val usage: TeamUsage,
    private val loadShedder: LoadShedder,
) {
    private class LatestPrediction(
        val prediction: LatencyPrediction,
        val validUntil: Timestamp,
    )

    private val retries = RetryDetector()
    private val predictions = HashMap<TeamId, LatestPrediction>()

    /** Lower bound on the milliseconds that a caller of [route] with [remaining] left spent on earlier attempts. */
    fun elapsedBefore(route: String, remaining: Long?): Long = retries.elapsed(route, remaining)

    /** Records that a request of [team] with [prompt] was refused for another reason than its share. */
    fun recordRefused(prompt: PromptShape, team: TeamId?, now: Timestamp) {
        if (team != null) usage.recordRequested(team, prompt.cost, now)
    }

    /**
     * Returns the failure for a request that its team's share has no room for, before its body is read and a server is
     * chosen; null if that is to be decided later.
     *
     * A router that is behind spends most of its time on requests of a flooding team that it refuses in the end. The
     * prediction for the team's latest request stands in for that of this one.
     */
    fun refuseEarly(prompt: PromptShape, request: AdmissionRequest, now: Timestamp): Failure? {
        val team = request.team ?: return null
        val latest = predictions[team]?.takeIf { now < it.validUntil } ?: return null
        if (!loadShedder.isThinnedOut(request, latest.prediction, now)) return null
        return admit(prompt, request, latest.prediction, now)
    }

    /** Returns null if a request with [prompt] is admitted, otherwise the failure to return to the caller. */
    fun decide(
        prompt: PromptShape,
        request: AdmissionRequest,
        prediction: LatencyPrediction,
        now: Timestamp,
    ): Failure? {
        if (request.team != null) remember(request.team, prediction, now)
        return admit(prompt, request, prediction, now)
    }

    private fun admit(
        prompt: PromptShape,
        request: AdmissionRequest,
        prediction: LatencyPrediction,
        now: Timestamp,
    ): Failure? {
        val team: TeamId? = request.team
        val tokens = prompt.cost
        if (team != null) usage.recordRequested(team, tokens, now)
        val refusal = loadShedder.decide(request.copy(tokens = tokens), prediction, now)
        if (refusal == null && team != null) usage.recordGranted(team, tokens, now)
        return refusal
    }

    /** What [decide] would return; has no effect. */
    fun preview(
        prompt: PromptShape,
        request: AdmissionRequest,
        prediction: LatencyPrediction,
        now: Timestamp,
    ): Failure? = loadShedder.preview(request.copy(tokens = prompt.cost), prediction, now)

    private fun remember(team: TeamId, prediction: LatencyPrediction, now: Timestamp) {
        if (predictions.size >= MAXIMUM_TEAMS && team !in predictions) predictions.clear()
        predictions[team] = LatestPrediction(prediction, now.plusMilliseconds(PREDICTION_MILLISECONDS))
    }

    private companion object {
        /** Servers begin or end few requests within this time. */
        const val PREDICTION_MILLISECONDS = 50L

        /** Bounds memory; more teams than contend at one router. */
        const val MAXIMUM_TEAMS = 4_096
    }
}
