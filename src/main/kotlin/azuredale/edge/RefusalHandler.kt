package azuredale.edge

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** The complete response to a request that is refused. */
public fun interface Refusal {
    /** Encodes the response; [isClosing] tells the caller that its connection will be closed. */
    public fun encode(allocator: ByteBufAllocator, isClosing: Boolean): ByteBuf
}

/**
 * Refuses requests on a caller's connection as soon as their heads are decoded.
 *
 * It precedes the handler that creates the objects of a request and its response. What follows of a refused request is
 * read and dropped. Responses keep the order of their requests: a request that follows an unanswered one is passed on.
 *
 * @param isIdle whether all requests that were passed on have been answered.
 * @param refuse returns the refusal of a request that the router has no time for, otherwise null.
 * @param isClosing whether connections are to be closed after their responses.
 * @param onRefused called after each refusal.
 */
internal class RefusalHandler(
    private val isIdle: () -> Boolean,
    private val refuse: (HttpRequest) -> Refusal?,
    private val isClosing: () -> Boolean,
    private val onRefused: () -> Unit,
) : ChannelInboundHandlerAdapter() {
    /** Whether the rest of a refused request is still to be read. */
    private var isDropping = false

    /** The response after which the connection is closed, null if it stays open. */
    private var lastResponse: ChannelFuture? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val refusal =
            if (!isDropping &&
                message is HttpRequest &&
                mayRefuse(context, message)
            ) {
                refuse(message)
            } else {
                null
            }
        if (refusal != null) respond(context, message as HttpRequest, refusal)
        if (isDropping) drop(context, message) else context.fireChannelRead(message)
    }

    /** A response to `HEAD` has no body, and one to `Expect` decides whether the body follows; both are rare. */
    private fun mayRefuse(context: ChannelHandlerContext, request: HttpRequest): Boolean =
        request.decoderResult().isSuccess &&
            request.method() != HttpMethod.HEAD &&
            !request.headers().contains("Expect") &&
            isIdle() &&
            context.channel().isWritable

    private fun respond(context: ChannelHandlerContext, request: HttpRequest, refusal: Refusal) {
        val isLast = isClosing() || !HttpUtil.isKeepAlive(request)
        val bytes = refusal.encode(context.alloc(), isLast)
        // The bytes are complete, so they must not pass through the encoder.
        val written = context.pipeline().context(ENCODER).writeAndFlush(bytes)
        if (isLast) lastResponse = written
        isDropping = true
        onRefused()
    }

    private fun drop(context: ChannelHandlerContext, message: Any) {
        val isMalformed = message is HttpObject && message.decoderResult().isFailure
        if (message is LastHttpContent) {
            isDropping = false
            // Closing before the whole request is read could discard the response at the caller.
            lastResponse?.addListener(ChannelFutureListener.CLOSE)
        }
        ReferenceCountUtil.release(message)
        if (isMalformed) context.close()
    }

    private companion object {
        /** Name of the encoder that Vert.x adds to a connection's pipeline. */
        const val ENCODER = "httpEncoder"
    }
}
