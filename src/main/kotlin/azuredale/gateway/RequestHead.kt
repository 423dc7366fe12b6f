package azuredale.gateway

/** A part of a prompt, shared with other requests unless it is the last one. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * What a request says of its prompt and answer.
 *
 * @property parts in the order of the prompt; their tokens add up to [promptTokens].
 * @property maximumOutputTokens bound on the tokens generated.
 * @property expectedOutputTokens the caller's rough estimate, null without one.
 */
public data class PromptShape(
    val parts: List<PromptPart>,
    val promptTokens: Int,
    val maximumOutputTokens: Int,
    val expectedOutputTokens: Int? = null,
)

/** A header as it is passed on. */
public data class Header(
    val name: String,
    val value: String,
)

/**
 * The head of a caller's request, decoded.
 *
 * @property id names one attempt of the caller; a caller that tries again uses another id.
 * @property target path with query, passed on unchanged.
 * @property remainingMilliseconds how long the caller waits, null when it does not say.
 * @property key the caller's key without its scheme, null without one.
 * @property lastEvent the last event that the caller has, when it resumes a stream.
 * @property headers the headers to pass on; those of a single connection and those that routers set are left out.
 */
public data class RequestHead(
    val id: String,
    val method: String,
    val target: String,
    val host: String,
    val remainingMilliseconds: Long?,
    val key: String?,
    val prompt: PromptShape?,
    val lastEvent: Long?,
    val headers: List<Header>,
) {
    /** The path without its query. */
    val path: String get() = target.substringBefore('?')
}

/** A head that cannot be decoded. */
public data class MalformedHead(val detail: String)
