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
    private val retries = RetryDetector()

    /** Lower bound on the milliseconds that a caller of [route] with [remaining] left spent on earlier attempts. */
    fun elapsedBefore(route: String, remaining: Long?): Long = retries.elapsed(route, remaining)

    /** Returns null if a request with [prompt] is admitted, otherwise the failure to return to the caller. */
    fun decide(
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
}
