package azuredale.routing

import azuredale.outcome.Failure
import azuredale.time.Clock
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/**
 * Response to a completion request: server-sent events as they arrive, or one JSON object at the end.
 *
 * The chunk with the finish reason is sent only after the engine's end marker, so that a response that was resumed at
 * another engine has exactly one.
 */
internal class CompletionResponse(
    override val stream: CallerStream,
    private val body: CompletionBody,
    private val id: String,
    private val settings: EdgeSettings,
    private val isStored: Boolean,
    private val clock: Clock,
) : CallerResponse {
    private val response = stream.response
    private val text = StringBuilder()
    private var pending = Buffer.buffer()
    private var isTextTooLong = false
    private var finish: CompletionChunk? = null
    private var engineError: StoredResponse? = null

    override var hasBegun = false
        private set

    /** Number of tokens accepted for this response by [deliver], over all attempts. */
    var delivered = 0L
        private set

    /** Adds a chunk, to be sent by the next [flush]. Returns false when the text exceeds the limit for buffering. */
    fun deliver(chunk: CompletionChunk): Boolean {
        if (chunk.finishReason != null) finish = chunk
        if (chunk.text.isEmpty()) return true
        if (!appendText(chunk.text)) return false
        delivered += chunk.tokens
        if (body.isStream) pending.appendString("data: ${chunk.withId(id).encode()}\n\n")
        return true
    }

    /** Uses the engine's error response as the response. Returns false when text has already been delivered. */
    fun setEngineError(stored: StoredResponse): Boolean {
        if (delivered > 0) return false
        engineError = stored
        return true
    }

    /** Returns the response to store for duplicates, or null when it need not be stored or is too large. */
    fun storedResponse(): StoredResponse? {
        if (!isStored || isTextTooLong) return null
        engineError?.let { return it }
        val bytes = completion().toBuffer().bytes
        return StoredResponse(HTTP_OK, JSON, bytes).takeIf { bytes.size <= settings.maximumStoredBytes }
    }

    override fun finish(result: RequestResult) {
        if (response.ended() || response.closed()) return
        when (result) {
            RequestResult.Completed -> complete()
            is RequestResult.Duplicate -> sendStored(result.response)
            is RequestResult.Failed -> fail(result.failure)
        }
    }

    private fun appendText(piece: String): Boolean {
        val isNeeded = !body.isStream || isStored
        if (!isNeeded) return true
        if (isTextTooLong) return body.isStream
        if (text.length + piece.length <= settings.maximumCompletionLength) {
            text.append(piece)
            return true
        }
        isTextTooLong = true
        return body.isStream
    }

    /** Sends all chunks added since the last call in one write. */
    suspend fun flush() {
        if (pending.length() == 0) return
        val bytes = pending
        pending = Buffer.buffer()
        begin()
        stream.write(bytes)
    }

    private fun begin() {
        if (hasBegun || response.closed()) return
        hasBegun = true
        response.isChunked = true
        response.putHeader("content-type", "text/event-stream").putHeader("cache-control", "no-cache")
    }

    private fun complete() {
        val error = engineError
        if (error != null) {
            sendJson(Buffer.buffer(error.body), error.status)
        } else if (body.isStream) {
            begin()
            finish?.let { pending.appendString("data: ${it.withId(id).encode()}\n\n") }
            response.end(pending.appendString(DONE))
        } else {
            sendJson(completion().toBuffer(), HTTP_OK)
        }
    }

    private fun sendStored(stored: StoredResponse) {
        val bytes = Buffer.buffer(stored.body)
        if (!body.isStream || stored.status != HTTP_OK) return sendJson(bytes, stored.status)
        begin()
        val completion = JsonObject(bytes)
        val first = completion.getJsonArray("choices").getJsonObject(0)
        val piece = first.getString("text") ?: first.getJsonObject("message")?.getString("content").orEmpty()
        val chunk =
            head(if (body.isChat) "chat.completion.chunk" else "text_completion")
                .put(
                    "choices",
                    JsonArray().add(choice(piece, "delta").put("finish_reason", first.getString("finish_reason"))),
                )
        response.end("data: ${chunk.encode()}\n\n$DONE")
    }

    private fun fail(failure: Failure) {
        // Text of a failed attempt that has not been flushed counts as delivered, so send it before the error event.
        if (!hasBegun && pending.length() == 0) return ErrorResponse.send(response, failure, clock())
        begin()
        response.end(pending.appendString(ErrorResponse.event(failure)))
    }

    private fun sendJson(bytes: Buffer, status: Int) {
        response.statusCode = status
        response
            .putHeader("content-type", JSON)
            .putHeader(Headers.OUTCOME, "COMPLETED")
            .putHeader(Headers.EXECUTION, "run")
        response.end(bytes)
    }

    private fun completion(): JsonObject = head(if (body.isChat) "chat.completion" else "text_completion")
        .put("choices", JsonArray().add(choice(text.toString(), "message").put("finish_reason", finish?.finishReason)))
        .put("usage", JsonObject().put("completion_tokens", delivered))

    private fun head(kind: String) = JsonObject().put("id", id).put("object", kind).put("model", body.model)

    private fun choice(piece: String, chatField: String): JsonObject {
        val choice = JsonObject().put("index", 0)
        if (!body.isChat) return choice.put("text", piece)
        return choice.put(chatField, JsonObject().put("role", "assistant").put("content", piece))
    }

    companion object {
        const val HTTP_OK = 200
        const val JSON = "application/json"
        const val DONE = "data: [DONE]\n\n"
    }
}
