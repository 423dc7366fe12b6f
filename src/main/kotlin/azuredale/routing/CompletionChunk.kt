package azuredale.routing

import io.vertx.core.json.JsonObject

/**
 * One event of an engine's response stream.
 *
 * @property offset position of the first token in the response, or null if the engine does not report it.
 * @property tokens number of tokens in [text]. If the engine does not report it, a non-empty text counts as one token.
 */
internal class CompletionChunk(private val json: JsonObject) {
    private val choice: JsonObject? = json.getJsonArray("choices")?.takeIf { !it.isEmpty }?.getJsonObject(0)

    val id: String? = json.getString("id")
    val hasError: Boolean = json.containsKey("error")
    val offset: Long? = json.getLong("offset")
    val text: String = choice?.getString("text") ?: choice?.getJsonObject("delta")?.getString("content").orEmpty()
    val finishReason: String? = choice?.getString("finish_reason")
    val tokens: Long = json.getLong("tokens") ?: if (text.isEmpty()) 0 else 1

    /** Returns the event as sent to the caller: with [id] and without router-internal fields. Modifies this chunk. */
    fun withId(id: String): JsonObject = json.put("id", id).apply {
        remove("offset")
        remove("tokens")
    }
}
