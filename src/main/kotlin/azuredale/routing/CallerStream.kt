package azuredale.routing

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CompletableDeferred

/** Writes to a caller with back pressure: suspends while the write queue is full. Discards data once it is closed. */
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

    /** Resumes a suspended [write] after the caller has disconnected. */
    fun callerGone() {
        drained?.complete(Unit)
    }
}
