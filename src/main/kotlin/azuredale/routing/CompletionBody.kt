package azuredale.routing

import azuredale.outcome.ErrorKind
import azuredale.outcome.Outcome
import azuredale.outcome.refused
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/**
 * Body of a completion request.
 *
 * @property engineBody the request as it is sent to engines. Always asks for a stream, because the router counts tokens
 * and resumes interrupted responses for non-streaming callers, too.
 */
internal class CompletionBody(
    val model: String,
    val adapter: String?,
    val prompt: String,
    val isStream: Boolean,
    val isChat: Boolean,
    val engineBody: Buffer,
) {
    companion object {
        fun parse(body: Buffer?, isChat: Boolean): Outcome<CompletionBody> {
            val json =
                try {
                    JsonObject(body ?: return invalid("the body is missing"))
                } catch (failure: RuntimeException) {
                    return invalid("the body is not a JSON object")
                }
            return try {
                read(json, isChat)
            } catch (failure: ClassCastException) {
                invalid("a field has the wrong type")
            }
        }

        private fun read(json: JsonObject, isChat: Boolean): Outcome<CompletionBody> {
            val model = json.getString("model")
            val prompt = if (isChat) chatPrompt(json.getJsonArray("messages")) else json.getString("prompt")
            val isStream = json.getBoolean("stream", false) ?: false
            return when {
                model.isNullOrEmpty() -> invalid("model is missing")
                prompt == null -> invalid(if (isChat) "messages is missing" else "prompt is missing or not a string")
                (json.getInteger("n") ?: 1) != 1 -> invalid("n must be 1")
                else -> {
                    val engineBody = json.copy().put("stream", true).toBuffer()
                    Outcome.Success(
                        CompletionBody(model, json.getString("adapter"), prompt, isStream, isChat, engineBody),
                    )
                }
            }
        }

        private fun chatPrompt(messages: JsonArray?): String? = messages?.joinToString("\n") { message ->
            val fields = message as JsonObject
            "${fields.getString("role")}: ${fields.getValue("content")}"
        }

        private fun invalid(detail: String): Outcome<CompletionBody> = refused(ErrorKind.INVALID_REQUEST, detail)
    }
}
