package azuredale.routing

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import io.vertx.core.Context
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.Job

/** The request to send to a backend server. Kept until the caller's request ends, so that it can be sent again. */
internal class BackendCall(
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
)

/**
 * A caller's request in progress in the HTTP edge. Must only be used on the event loop of the caller's connection.
 *
 * @property requestId request ID sent to backend servers.
 */
internal class Exchange(
    val number: RequestNumber,
    val requestId: String,
    val context: Context,
    val call: BackendCall,
    val response: CallerResponse,
    val isIdempotent: Boolean,
) {
    private var attempt: AttemptNumber? = null
    private var job: Job? = null

    var isFinished = false
        private set

    fun started(number: AttemptNumber, running: Job) {
        attempt = number
        job = running
    }

    fun cancel(number: AttemptNumber) {
        if (attempt == number) job?.cancel()
    }

    fun finish(result: RequestResult) {
        isFinished = true
        response.finish(result)
    }
}
