package azuredale.routing

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import io.vertx.core.Context
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.Job

/** What is sent to the backend server; held until the request ends, so that it can be sent again. */
internal class BackendCall(
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
)

/**
 * A caller's request at the HTTP edge; used on the event loop of the caller's connection only.
 *
 * @property requestId identity of the request towards backend servers.
 */
internal class Exchange(
    val number: RequestNumber,
    val requestId: String,
    val context: Context,
    val call: BackendCall,
    val answer: CallerAnswer,
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
        answer.finish(result)
    }
}
