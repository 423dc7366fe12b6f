package azuredale.gateway

import azuredale.identity.PartId

/** A part of a prompt. Every part but the last may be shared with other requests. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
) {
    /** The id as a typed value. */
    val partId: PartId get() = PartId(id)

    public companion object {
        /** Parses [text] of the form `ID:TOKENS`; returns null for any other text. */
        public fun parse(text: String): PromptPart? {
            val end = text.indexOf(':')
            if (end < 0) return null
            val tokens = text.substring(end + 1).trim().toIntOrNull() ?: return null
            return PromptPart(text.substring(0, end).trim(), tokens)
        }
    }
}

/**
 * Sizes of a prompt and its output, as declared by the request.
 *
 * @property parts in prompt order; their tokens add up to [promptTokens].
 * @property maximumOutputTokens limit on generated tokens.
 * @property expectedOutputTokens the caller's estimate, null if not given.
 */
public data class PromptShape(
    val parts: List<PromptPart>,
    val promptTokens: Int,
    val maximumOutputTokens: Int,
    val expectedOutputTokens: Int? = null,
) {
    /** All parts but the last, which belongs to this request alone. */
    val sharedParts: List<PromptPart> = parts.dropLast(1)

    /** Tokens that the output is expected to have: the caller's estimate, otherwise half of the output limit. */
    val likelyOutputTokens: Int get() = expectedOutputTokens ?: (maximumOutputTokens / 2)

    /** Cost in fair-share accounting: a prompt token counts once, an output token twice. */
    val cost: Int
        get() {
            return (promptTokens + 2L * likelyOutputTokens).coerceIn(0, MAXIMUM_COST).toInt()
        }

    private companion object {
        /** Larger than any model's context; keeps sums of costs within their type. */
        const val MAXIMUM_COST = 100_000_000L
    }
}

/** An HTTP header to forward. */
public data class Header(
    val name: String,
    val value: String,
)

/**
 * The decoded head of a caller's request.
 *
 * @property id identifies one attempt of the caller; a retry uses another id.
 * @property target path with query, forwarded unchanged.
 * @property remainingMilliseconds how long the caller will wait, null if not given.
 * @property key the caller's API key without the authentication scheme, null if not given.
 * @property lastEventNumber number of the last event that the caller received, if it resumes a stream.
 * @property resumedRequest id of the caller's request that brought the first event, if it resumes a stream and says so.
 * @property headers the headers to forward, without hop-by-hop headers and those that routers set.
 */
public data class RequestHead(
    val id: String,
    val method: String,
    val target: String,
    val host: String,
    val remainingMilliseconds: Long?,
    val key: String?,
    val prompt: PromptShape?,
    val lastEventNumber: Long?,
    val headers: List<Header>,
    val resumedRequest: String? = null,
) {
    /** The path without its query. */
    val path: String get() = target.substringBefore('?')
}

/** What decides, before a request is decoded, whether the router has time for it; each property decodes its header. */
public interface RequestPreview {
    /** Identifies one attempt of the caller. */
    public val id: String?

    /** The caller's API key without the authentication scheme, null if not given. */
    public val key: String?

    /** How long the caller will wait, null if not given. */
    public val remainingMilliseconds: Long?
}

/** A request head that cannot be decoded. */
public data class MalformedHead(val detail: String)
