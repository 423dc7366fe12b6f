package azuredale.routing

import io.vertx.core.json.JsonObject

/**
 * One event of an engine's answer.
 *
 * @property offset position of the first token in the answer, or null when the engine does not state it.
 * @property tokens number of tokens in [text]; one when the engine does not state it.
 */
internal class CompletionChunk(private val json: JsonObject) {
    private val choice: JsonObject? = json.getJsonArray("choices")?.takeIf { !it.isEmpty }?.getJsonObject(0)

    val id: String? = json.getString("id")
    val hasError: Boolean = json.containsKey("error")
    val offset: Long? = json.getLong("offset")
    val text: String = choice?.getString("text") ?: choice?.getJsonObject("delta")?.getString("content").orEmpty()
    val finishReason: String? = choice?.getString("finish_reason")
    val tokens: Long = json.getLong("tokens") ?: if (text.isEmpty()) 0 else 1

    /** The event as the caller sees it, under the request's own [id]; changes the chunk. */
    fun withId(id: String): JsonObject = json.put("id", id).apply {
        remove("offset")
        remove("tokens")
    }
}
