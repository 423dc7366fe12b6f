package azuredale.admission

import azuredale.gateway.PromptShape
import azuredale.identity.TeamId
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Decides whether a prompt is admitted, and keeps the books of its team. */
internal class PromptAdmission(
    private val usage: TeamUsage,
    private val overload: OverloadAdmission,
) {
    private val deadlines = UsualDeadlines()

    /** Milliseconds that a caller of [route] with [remaining] left has used before at the least. */
    fun usedBefore(route: String, remaining: Long?): Long = deadlines.used(route, remaining)

    /** Null when a request with [prompt] is admitted, else the failure to answer. */
    fun decide(prompt: PromptShape, demand: Demand, predictedMilliseconds: Double, now: Timestamp): Failure? {
        val team: TeamId? = demand.team
        val tokens = size(prompt)
        if (team != null) usage.asked(team, tokens, now)
        val refusal = overload.decide(demand.copy(tokens = tokens), predictedMilliseconds, now)
        if (refusal == null && team != null) usage.given(team, tokens, now)
        return refusal
    }

    /** Shares count a token read once and a token generated twice; without a hint half of the bound is expected. */
    private fun size(prompt: PromptShape): Int =
        prompt.promptTokens + 2 * (prompt.expectedOutputTokens ?: (prompt.maximumOutputTokens / 2))
}
