package azuredale.routing

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.channels.Channel

/** Reads a paused response piece by piece; nothing is read from the connection between two calls of [next]. */
internal class ResponseReader(private val response: HttpClientResponse) {
    // One piece is fetched at a time, so the channel holds at most one.
    private val pieces = Channel<Buffer>(Channel.UNLIMITED)

    init {
        response.handler { pieces.trySend(it) }
        response.endHandler { pieces.close() }
        response.exceptionHandler { pieces.close(it) }
    }

    /** The next piece, or null at the regular end; throws when the connection fails. */
    suspend fun next(): Buffer? {
        response.fetch(1)
        val result = pieces.receiveCatching()
        if (result.isClosed) result.exceptionOrNull()?.let { throw it }
        return result.getOrNull()
    }
}
