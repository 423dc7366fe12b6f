package azuredale.edge

import azuredale.gateway.BackendEvent
import azuredale.gateway.ResponseHead
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.buffer.BufferInternal
import io.vertx.core.internal.net.NetSocketInternal

/** What a response says about reusing its connection. */
public class ConnectionHints(
    public val isClosing: Boolean,
    public val keepAliveSeconds: Long?,
)

/** Decodes response heads of backend servers. Implemented by the adapter, which knows the header names. */
public interface ResponseDecoder {
    public fun head(response: HttpResponse): ResponseHead

    public fun hints(response: HttpResponse): ConnectionHints
}

/**
 * One connection to a backend server, used for one request at a time.
 *
 * Matches responses to requests by the echoed request ID. It skips responses to other requests and waits for the right
 * one, so an HTTP client that pairs responses with requests by their order cannot be used. After a mismatched response
 * or unexpected data, the connection is not used again. A server that sends more than a bounded number of bytes or
 * responses to be skipped fails the request, and so does a head that was joined from two responses, or one whose status
 * HTTP does not define. A response that ends with its connection is complete only if the server ended the connection in
 * order.
 *
 * @param number number of the connection in this router, for logs.
 * @param onUnexpectedBytes called when bytes that belong to no request end the use of the connection.
 */
internal class BackendConnection(
    private val number: Long,
    private val socket: NetSocketInternal,
    private val decoder: ResponseDecoder,
    private val onHead: (ResponseHead) -> Unit,
    private val onIdle: (BackendConnection, ConnectionHints) -> Unit,
    private val onUnexpectedBytes: (detail: String) -> Unit,
    private val onClosed: (BackendConnection) -> Unit,
) {
    private var exchange: Exchange? = null
    private var isReset = false

    /** Whether the server ended the connection in order, so that all of its bytes were read. */
    private var hasServerEnded = false
    private var isClosed = false
    private var mustClose = false
    private var responseCount = 0
    private val responseDecoder = BackendResponseDecoder { exchange?.isHeadRequest == true }

    init {
        val channel = socket.channelHandlerContext().channel()
        // Reports the server's end of the connection as an event. Otherwise it looks the same as a failed write.
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        val pipeline = channel.pipeline()
        pipeline.addFirst(BYTE_MONITOR, ByteMonitor())
        pipeline.addBefore(SOCKET_HANDLER, "encoder", HttpRequestEncoder())
        pipeline.addBefore(SOCKET_HANDLER, "decoder", responseDecoder)
        socket.messageHandler(::handleMessage)
        socket.closeHandler { closed() }
        socket.exceptionHandler { isReset = true }
    }

    /** Whether the connection is idle and can be used for another request. */
    val isUsable: Boolean get() = !isClosed && !mustClose && exchange == null

    /** Sends [request] and reports events of the response to [onEvent]. */
    fun send(request: FullHttpRequest, requestId: String, onEvent: (BackendEvent) -> Unit): Exchange {
        check(isUsable) { "connection is in use" }
        val started = Exchange(requestId, request.method().name() == "HEAD", onEvent)
        exchange = started
        socket.writeMessage(request).onSuccess { started.isWritten = true }
        return started
    }

    fun close() {
        mustClose = true
        socket.close()
    }

    fun pause(isPaused: Boolean) {
        if (isPaused) socket.pause() else socket.resume()
    }

    /** A request in progress on this connection. */
    inner class Exchange(
        val requestId: String,
        val isHeadRequest: Boolean,
        private val onEvent: (BackendEvent) -> Unit,
    ) {
        var isWritten = false
        var hints: ConnectionHints? = null
        var isMismatched = false

        /** Whether the end of the connection is the end of the response, which has neither a length nor chunks. */
        var endsWithConnection = false

        /** Bytes read since the request was sent or since the latest part of its response. */
        var skippedBytes = 0

        /** Responses to other requests since the request was sent. */
        var skippedResponses = 0

        fun report(event: BackendEvent) = onEvent(event)

        /** Cancels the request by closing the connection; what is not yet written of it is dropped. */
        fun cancel() {
            if (exchange !== this) return
            exchange = null
            mustClose = true
            // A close through the handler of the socket waits until everything is written, even if nobody reads it.
            socket
                .channelHandlerContext()
                .pipeline()
                .context(BYTE_MONITOR)
                ?.close()
        }

        fun pause(isPaused: Boolean) {
            if (exchange === this) this@BackendConnection.pause(isPaused)
        }
    }

    private fun handleMessage(message: Any) {
        try {
            val current = exchange
            if (current == null) {
                close()
                return
            }
            if (message is HttpMessage && message.decoderResult().isFailure) {
                fail("response is malformed: ${message.decoderResult().cause()?.message}")
                return
            }
            if (message is HttpResponse) {
                val fault = headFault(message)
                if (fault == null) headReceived(current, message) else fail("response is malformed: $fault")
            }
            if (message is HttpContent && isCurrent(current)) contentReceived(current, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Whether [started] is still in progress. An event listener may have cancelled it. */
    private fun isCurrent(started: Exchange): Boolean = exchange === started

    private fun headReceived(current: Exchange, response: HttpResponse) {
        val head = decoder.head(response)
        onHead(head)
        current.hints = decoder.hints(response)
        // On a connection that has carried a response, a refusal without an id may belong to an earlier request.
        val isRefusalWithoutId = head.requestId == null && head.isNotExecuted && responseCount == 0
        responseCount++
        val isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        current.isMismatched = isInterim || (head.requestId != current.requestId && !isRefusalWithoutId)
        if (current.isMismatched) {
            mustClose = true
            if (endsWithConnection(head, response)) {
                fail("a response to another request ends with the connection")
            } else if (++current.skippedResponses > MAXIMUM_SKIPPED_RESPONSES) {
                fail("more than $MAXIMUM_SKIPPED_RESPONSES responses to other requests")
            }
        } else {
            current.endsWithConnection = endsWithConnection(head, response)
            current.skippedBytes = 0
            current.report(BackendEvent.Head(head))
        }
    }

    private fun endsWithConnection(head: ResponseHead, response: HttpResponse) =
        !head.isDelimited && !responseDecoder.isContentAlwaysEmpty(response)

    private fun contentReceived(current: Exchange, content: HttpContent) {
        if (content.decoderResult().isFailure) {
            fail("response body is malformed: ${content.decoderResult().cause()?.message}")
            return
        }
        if (!current.isMismatched && content.content().isReadable) {
            current.skippedBytes = 0
            val bytes = Buffer.buffer(content.content().readableBytes())
            (bytes as BufferInternal).appendBytes(
                io.netty.buffer.ByteBufUtil
                    .getBytes(content.content()),
            )
            current.report(BackendEvent.Data(bytes))
        }
        if (content is LastHttpContent && isCurrent(current)) ended(current)
    }

    private fun ended(current: Exchange) {
        val hints = current.hints
        if (current.isMismatched) {
            current.isMismatched = false
            if (hints == null || hints.isClosing) fail("the server closes after a response to another request")
            return
        }
        // A server that ends the connection before it has read the request may have failed within the response.
        if (current.endsWithConnection && (!hasServerEnded || !current.isWritten)) {
            fail(if (isReset) "connection was reset within the response" else "connection broke within the response")
            return
        }
        exchange = null
        // Bytes after the response would be parsed as the beginning of the next one.
        if (!responseDecoder.isBetweenResponses) {
            mustClose = true
            onUnexpectedBytes("${responseDecoder.bufferedBytes} bytes after a response${position()}")
        }
        // If the server responds before it has read the complete request, it would parse the rest as another request.
        val isReusable = current.isWritten && !mustClose && !isClosed && hints != null && !hints.isClosing
        if (!isReusable) close()
        current.report(BackendEvent.Complete)
        if (isReusable) onIdle(this, hints)
    }

    private fun fail(detail: String) {
        val current = exchange
        exchange = null
        close()
        current?.report(BackendEvent.Failed(detail + position()))
    }

    /** Where on the connection something happened, for logs. */
    private fun position() = " (connection $number, $responseCount responses)"

    private fun closed() {
        if (isClosed) return
        isClosed = true
        val current = exchange
        exchange = null
        onClosed(this)
        val detail = if (isReset) "connection was reset" else "connection was closed"
        current?.report(BackendEvent.Failed(detail + position()))
    }

    /** Precedes the decoder: records how the connection ends, and bounds the bytes that belong to no response. */
    private inner class ByteMonitor : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val current = exchange
            if (current != null && message is ByteBuf) current.skippedBytes += message.readableBytes()
            when {
                current == null -> unexpectedBytes(message)
                current.skippedBytes > MAXIMUM_SKIPPED_BYTES ->
                    fail("more than $MAXIMUM_SKIPPED_BYTES bytes outside the response")
                else -> {
                    context.fireChannelRead(message)
                    return
                }
            }
            ReferenceCountUtil.release(message)
        }

        private fun unexpectedBytes(message: Any) {
            if (!mustClose) onUnexpectedBytes("${(message as? ByteBuf)?.readableBytes()} bytes while idle${position()}")
            close()
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event !is ChannelInputShutdownEvent) {
                context.fireUserEventTriggered(event)
                return
            }
            hasServerEnded = !isReset
            context.fireUserEventTriggered(event)
            // Closes at once, without waiting until the rest of the request is written.
            context.close()
        }

        @Deprecated("Deprecated in the library's interface for other kinds of handlers")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            isReset = true
            context.fireExceptionCaught(cause)
        }
    }

    private companion object {
        /** Name of the handler next to the socket. */
        const val BYTE_MONITOR = "byte-monitor"

        /** Name of the handler that Vert.x adds at the end of a connection's pipeline. */
        const val SOCKET_HANDLER = "handler"

        /** More than one read of a socket, which may hold several parts of a response. */
        const val MAXIMUM_SKIPPED_BYTES = 512 * 1024

        /** A server that repeats responses sends one or two. */
        const val MAXIMUM_SKIPPED_RESPONSES = 32
    }
}
