package azuredale.platform

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.Callable

/**
 * Decodes large values on the worker thread, so that the event loop handles requests meanwhile.
 *
 * The decoded value is returned on the event loop. Values are decoded one after the other, in the order of the calls.
 */
internal class LargeValueDecoder(private val vertx: Vertx) {
    /** Returns the result of [decode] for a value of [size] characters or bytes, or throws what it throws. */
    suspend fun <T> decode(size: Int, decode: () -> T): T =
        if (size < LARGE_SIZE) decode() else vertx.executeBlocking(Callable { decode() }).coAwait()

    companion object {
        /** Decoding a smaller value takes a small VM less than the 20 ms between two turns of periodic work. */
        const val LARGE_SIZE = 16_384
    }
}
