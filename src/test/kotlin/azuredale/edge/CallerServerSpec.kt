package azuredale.edge

import azuredale.gateway.RequestHead
import azuredale.time.systemClock
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Load pattern: callers open more connections than the process has descriptors for, or are refused in series. */
class CallerServerSpec {
    private class Setting(
        val vertx: Vertx,
        val server: CallerServer,
        val port: Int,
    ) {
        /** Opens a connection and sends a request on it; completes with the first bytes received, empty if closed. */
        fun request(path: String): CompletableDeferred<String> {
            val received = CompletableDeferred<String>()
            // On the event loop all handlers are set before it can notice that the server closed the connection.
            vertx.runOnContext {
                vertx
                    .createNetClient()
                    .connect(port, "127.0.0.1")
                    .onFailure { received.complete("") }
                    .onSuccess { socket ->
                        socket.closeHandler { received.complete("") }
                        socket.exceptionHandler { received.complete("") }
                        socket.handler { received.complete(it.toString()) }
                        socket.write("GET $path HTTP/1.1\r\nHost: a.example\r\n\r\n")
                    }
            }
            return received
        }
    }

    /** Runs [test] with a server that answers all requests but those to `/held`, which stay in progress. */
    private fun withServer(test: suspend Setting.() -> Unit) = runBlocking {
        val vertx = Vertx.vertx()
        try {
            withTimeout(20_000) {
                val port = ServerSocket(0).use { it.localPort }
                val handlers =
                    CallerHandlers(
                        refuse = { request -> Refusal(::encode).takeIf { request.uri() != "/held" } },
                        decode = { request -> hold(request) },
                        serve = {},
                        malformed = {},
                        isClosing = { false },
                    )
                val server = CallerServer(vertx, "127.0.0.1", port, 8_192, LIMIT, handlers, systemClock())
                server.start()
                Setting(vertx, server, port).test()
            }
        } finally {
            vertx.close().coAwait()
        }
    }

    private fun encode(allocator: ByteBufAllocator, isClosing: Boolean): ByteBuf {
        val close = if (isClosing) "Connection: close\r\n" else ""
        val response = "HTTP/1.1 503 Service Unavailable\r\n${close}Content-Length: 2\r\n\r\nno"
        return allocator.buffer().writeBytes(response.encodeToByteArray())
    }

    private fun hold(request: HttpServerRequest): DecodedHead {
        request.response().setChunked(true).write(Buffer.buffer("held"))
        return DecodedHead.Valid(
            RequestHead("id", "GET", request.uri(), "a.example", null, null, null, null, emptyList()),
        )
    }

    @Nested
    inner class Idle {
        @Test
        fun `connections give way to new ones`() = withServer {
            // Guards against a flood on new connections that fills the descriptor table, so that nobody is let in.
            repeat(4 * LIMIT) {
                val answer = request("/a").await()
                assertTrue(answer.startsWith("HTTP/1.1 503"), "connection $it: $answer")
                assertTrue(server.openConnections <= LIMIT)
            }
        }

        @Test
        fun `connections are closed before those in use`() = withServer {
            // Guards against a request that is cut because its connection is old.
            val held = List(LIMIT / 2) { request("/held") }
            repeat(2 * LIMIT) { assertTrue(request("/a").await().startsWith("HTTP/1.1 503")) }
            held.forEach { assertTrue(it.await().startsWith("HTTP/1.1 200")) }
            assertTrue(server.openConnections in LIMIT / 2..LIMIT)
        }
    }

    @Nested
    inner class InUse {
        @Test
        fun `a connection beyond the limit is closed at once`() = withServer {
            // Guards against callers that wait on a connection which the router cannot serve.
            val held = List(LIMIT) { request("/held") }
            held.forEach { it.await() }
            assertEquals("", withTimeout(1_000) { request("/a").await() })
            delay(50)
            assertEquals(LIMIT, server.openConnections)
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `of requests whose bodies are not read leave their connection in order`() = withServer {
            // Guards against the rest of a refused body that is taken for the next request of the connection.
            val received = Buffer.buffer()
            val socket = vertx.createNetClient().connect(port, "127.0.0.1").coAwait()
            socket.handler { received.appendBuffer(it) }
            repeat(3) {
                socket.write("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: $BODY_BYTES\r\n\r\n")
                socket.write("GET /b HTTP/1.1\r\n\r\n".repeat(BODY_BYTES / 10).take(BODY_BYTES))
                while (received.toString().split("HTTP/1.1 503").size < it + 2) delay(10)
            }
            delay(100)
            assertEquals(4, received.toString().split("HTTP/1.1").size, received.toString())
        }
    }

    @Nested
    inner class Order {
        @Test
        fun `a request that follows an unanswered one is not refused before it`() = withServer {
            // Guards against a refusal that the caller takes for the answer to its earlier request.
            val received = Buffer.buffer()
            val socket = vertx.createNetClient().connect(port, "127.0.0.1").coAwait()
            socket.handler { received.appendBuffer(it) }
            socket.write("GET /held HTTP/1.1\r\nHost: a.example\r\n\r\nGET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
            delay(300)
            val text = received.toString()
            assertTrue(text.startsWith("HTTP/1.1 200"), text)
            assertFalse("503" in text, text)
        }

        @Test
        fun `a caller that wants its connection closed gets its refusal first`() = withServer {
            // Guards against a close that discards the refusal while the rest of the request is on its way.
            val received = Buffer.buffer()
            val closed = CompletableDeferred<Unit>()
            val socket = vertx.createNetClient().connect(port, "127.0.0.1").coAwait()
            socket.handler { received.appendBuffer(it) }
            socket.closeHandler { closed.complete(Unit) }
            socket.write("POST /a HTTP/1.1\r\nConnection: close\r\nContent-Length: $BODY_BYTES\r\n\r\n")
            delay(100)
            assertFalse(closed.isCompleted, "closed before the request was read")
            socket.write("x".repeat(BODY_BYTES))
            closed.await()
            assertTrue("Connection: close" in received.toString(), received.toString())
        }
    }

    private companion object {
        const val LIMIT = 24
        const val BODY_BYTES = 100_000
    }
}
