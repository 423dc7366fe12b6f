package azuredale.explain

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import kotlinx.serialization.Serializable

/** A part of the prompt in a [RoutingQuestion], as in the request's headers. */
@Serializable
public data class QuestionPart(
    val id: String,
    val tokens: Int,
)

/**
 * A request that is only described: where would it go now?
 *
 * @property route name of the route; if it is null, [host] and [path] select the route as they do for a request.
 * @property team name of the team, null for a request without a key.
 * @property promptTokens tokens of the prompt, 0 for a request without a prompt.
 * @property outputTokens limit on generated tokens.
 * @property parts parts of the prompt in order; the last one belongs to the request alone.
 * @property remainingMilliseconds how long the caller would wait, null for as long as the route allows.
 */
@Serializable
public data class RoutingQuestion(
    val route: String? = null,
    val host: String = "",
    val path: String = "",
    val team: String? = null,
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val parts: List<QuestionPart> = emptyList(),
    val remainingMilliseconds: Long? = null,
) {
    /** The prompt, null for a request without one. */
    internal val prompt: PromptShape?
        get() =
            if (promptTokens == 0) {
                null
            } else {
                PromptShape(parts.map { PromptPart(it.id, it.tokens) }, promptTokens, outputTokens)
            }

    /** What is wrong with the question, empty if nothing is. */
    internal fun faults(): List<String> = buildList {
        if (route == null && (host.isEmpty() || path.isEmpty())) add("either a route or a host and a path is required")
        if (promptTokens < 0 || outputTokens < 0) add("numbers of tokens must not be negative")
        if (parts.any { it.tokens < 0 || it.id.isEmpty() }) add("each part needs an id and a number of tokens")
        if (remainingMilliseconds != null && remainingMilliseconds <= 0) add("the remaining time must be positive")
    }
}
