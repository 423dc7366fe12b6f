package azuredale.routing

import azuredale.outcome.Execution
import azuredale.outcome.Failure
import azuredale.time.Timestamp
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject

/** Writes error responses for callers: status, headers and JSON body, or the last event of a stream. */
internal object ErrorResponse {
    private const val MILLISECONDS_PER_SECOND = 1_000L

    fun send(response: HttpServerResponse, failure: Failure, now: Timestamp) {
        if (response.ended() || response.closed()) return
        response.statusCode = failure.kind.status
        headers(response.headers(), failure, now)
        response.putHeader("content-type", "application/json")
        response.end(body(failure).toBuffer())
    }

    /** Returns the error event that ends a failed stream in place of `[DONE]`. */
    fun event(failure: Failure): String = "event: error\ndata: ${body(failure).encode()}\n\n"

    fun text(execution: Execution): String = execution.name.lowercase().replace('_', '-')

    private fun headers(headers: MultiMap, failure: Failure, now: Timestamp) {
        headers[Headers.OUTCOME] = failure.kind.name
        headers[Headers.EXECUTION] = text(failure.execution)
        failure.retryAt?.let { retryAt ->
            val milliseconds = retryAt.toMilliseconds() - now.toMilliseconds()
            val seconds = (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND
            headers["Retry-After"] = seconds.coerceAtLeast(0).toString()
        }
    }

    private fun body(failure: Failure): JsonObject {
        val error =
            JsonObject()
                .put("kind", failure.kind.name)
                .put("execution", text(failure.execution))
                .put("message", failure.kind.text)
                .put("detail", failure.detail)
        failure.retryAt?.let { error.put("retryAt", it.toMilliseconds()) }
        return JsonObject().put("error", error)
    }
}
