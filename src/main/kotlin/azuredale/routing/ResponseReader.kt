package azuredale.routing

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.channels.Channel

/** Reads the body of a paused response in chunks. Reads from the connection only during [next]. */
internal class ResponseReader(private val response: HttpClientResponse) {
    // Only one chunk is requested at a time, so the channel holds at most one.
    private val chunks = Channel<Buffer>(Channel.UNLIMITED)

    init {
        response.handler { chunks.trySend(it) }
        response.endHandler { chunks.close() }
        response.exceptionHandler { chunks.close(it) }
    }

    /** Returns the next chunk, or null at the end of the response. Throws if the connection fails. */
    suspend fun next(): Buffer? {
        response.fetch(1)
        val result = chunks.receiveCatching()
        if (result.isClosed) result.exceptionOrNull()?.let { throw it }
        return result.getOrNull()
    }
}
