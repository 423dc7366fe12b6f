package azuredale.selftest

import azuredale.identity.NetworkAddress
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * A request as received by a [RawServer].
 *
 * @property previous the last response on the same connection.
 * @property lastEvent the number of the last event that the caller has, if it resumes a stream.
 */
class RawRequest(
    val socket: NetSocket,
    val id: String,
    val target: String,
    val previous: String?,
    val lastEvent: Long? = null,
)

/** Backend server that sends any bytes, also such that are no HTTP. Requests must have no body. */
class RawServer(
    private val vertx: Vertx,
    private val options: NetServerOptions = NetServerOptions(),
) {
    /** Handles a request and returns the response that counts as sent on the connection, or null. */
    @Volatile
    var handler: (RawRequest) -> String? = { null }
    val targets = ConcurrentLinkedQueue<String>()
    val bytesSent = AtomicLong()
    val openConnections = AtomicInteger()

    suspend fun start(): NetworkAddress {
        val server =
            vertx
                .createNetServer(options)
                .connectHandler(::serve)
                .listen(0, "127.0.0.1")
                .coAwait()
        return NetworkAddress("127.0.0.1", server.actualPort())
    }

    private fun serve(socket: NetSocket) {
        openConnections.incrementAndGet()
        var previous: String? = null
        var received = Buffer.buffer()
        socket.closeHandler { openConnections.decrementAndGet() }
        socket.exceptionHandler { socket.close() }
        socket.handler { bytes ->
            received.appendBuffer(bytes)
            val text = received.toString()
            if (text.endsWith("\r\n\r\n")) {
                received = Buffer.buffer()
                val lines = text.lines()
                val id = lines.first { it.lowercase().startsWith("x-azuredale-request-id:") }.substringAfter(':').trim()
                val target = lines.first().split(' ')[1]
                targets += target
                val lastEvent =
                    lines
                        .firstOrNull {
                            it.lowercase().startsWith(
                                "last-event-id:",
                            )
                        }?.substringAfter(':')
                        ?.trim()
                        ?.toLong()
                previous = handler(RawRequest(socket, id, target, previous, lastEvent)) ?: previous
            }
        }
    }

    /** Sends [block] again and again until the peer closes the connection or [maximumBytes] are sent. */
    fun sendWithoutEnd(socket: NetSocket, block: Buffer, maximumBytes: Long) {
        var left = maximumBytes

        fun send() {
            while (left > 0 && !socket.writeQueueFull()) {
                socket.write(block)
                bytesSent.addAndGet(block.length().toLong())
                left -= block.length()
            }
            socket.drainHandler { send() }
        }
        send()
    }

    companion object {
        const val STAMP = "X-Azuredale-Response-Stamp: s\r\n"

        /** A complete response to request [id], or one without an id, with a length or in one chunk. */
        fun response(
            id: String?,
            text: String,
            more: String = STAMP,
            status: String = "200 OK",
            isChunked: Boolean = false,
        ): String {
            val idLine = id?.let { "X-Azuredale-Request-Id: $it\r\n" }.orEmpty()
            val framing = if (isChunked) "Transfer-Encoding: chunked" else "Content-Length: ${text.length}"
            val body = if (isChunked) "${text.length.toString(16)}\r\n$text\r\n0\r\n\r\n" else text
            return "HTTP/1.1 $status\r\n$idLine${more}$framing\r\n\r\n$body"
        }
    }
}
