package azuredale.edge

import azuredale.gateway.Caller
import azuredale.gateway.RequestHead
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Responses that have ended and wait for callers that read slowly, while a planned stop asks whether it may end. */
class UnwrittenResponsesSpec {
    /** How the server answers with [LONG_BYTES], which no socket buffers hold. */
    enum class Answer(val send: (Caller) -> Unit) {
        WHOLE({ it.respond(200, emptyList(), long()) {} }),
        STREAM({
            it.beginStream(200, emptyList())
            it.write(long())
            it.end()
        }),
    }

    @ParameterizedTest
    @EnumSource(Answer::class)
    fun `count until their callers have read them`(answer: Answer) = withServer(answer) { socket, server ->
        // Guards against a process that ends while the bytes of a complete answer are in its write queues.
        val read = AtomicLong()
        socket.handler { read.addAndGet(it.length().toLong()) }
        socket.resume()
        while (!server.areResponsesWritten) delay(20)
        while (read.get() < LONG_BYTES) delay(20)
    }

    @ParameterizedTest
    @EnumSource(Answer::class)
    fun `no longer count when their callers have left`(answer: Answer) = withServer(answer) { socket, server ->
        // Guards against a stop that waits for callers that are gone.
        socket.close()
        while (!server.areResponsesWritten) delay(20)
    }

    /** Runs [test] with a caller that has sent a request and reads nothing of the answer. */
    private fun withServer(answer: Answer, test: suspend (NetSocket, CallerServer) -> Unit) = runBlocking {
        val vertx = Vertx.vertx()
        try {
            withTimeout(20_000) {
                val port = ServerSocket(0).use { it.localPort }
                val handlers =
                    CallerHandlers(
                        refuse = { null },
                        decode = {
                            val head = RequestHead("id", "GET", "/", "a.example", null, null, null, null, emptyList())
                            DecodedHead.Valid(head)
                        },
                        serve = answer.send,
                        malformed = {},
                        isClosing = { false },
                    )
                val server = CallerServer(vertx, "127.0.0.1", port, 8_192, 8, handlers, systemClock())
                server.start()
                assertTrue(server.areResponsesWritten)
                val socket = vertx.createNetClient().connect(port, "127.0.0.1").coAwait()
                socket.pause()
                socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n").coAwait()
                delay(500)
                assertFalse(server.areResponsesWritten)
                test(socket, server)
            }
        } finally {
            vertx.close().coAwait()
        }
    }

    private companion object {
        const val LONG_BYTES = 64 * 1024 * 1024

        fun long(): Buffer = Buffer.buffer(ByteArray(LONG_BYTES))
    }
}
