package azuredale.routing

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CompletableDeferred

/** Writes to a caller and suspends while the caller is slow; a closed connection swallows what is written. */
internal class CallerStream(
    val response: HttpServerResponse,
    queueBytes: Int,
) {
    private var drained: CompletableDeferred<Unit>? = null

    init {
        response.setWriteQueueMaxSize(queueBytes)
    }

    suspend fun write(bytes: Buffer) {
        if (response.closed() || response.ended()) return
        response.write(bytes)
        if (!response.writeQueueFull()) return
        val waiter = CompletableDeferred<Unit>()
        drained = waiter
        response.drainHandler { waiter.complete(Unit) }
        waiter.await()
    }

    /** Ends a wait for a caller that is gone. */
    fun callerGone() {
        drained?.complete(Unit)
    }
}
