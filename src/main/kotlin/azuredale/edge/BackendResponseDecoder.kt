package azuredale.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the responses on one connection and knows whether it has read a part of a further one.
 *
 * @param isHeadRequest whether the request in progress is a HEAD request, whose response has no body.
 */
internal class BackendResponseDecoder(private val isHeadRequest: () -> Boolean) :
    HttpResponseDecoder(HttpDecoderConfig()) {
    private var hasPartialResponse = false

    /** Whether all bytes read so far belong to complete responses. */
    val isBetweenResponses: Boolean get() = !hasPartialResponse && actualReadableBytes() == 0

    /** Bytes read but not decoded yet, for logs. */
    val bufferedBytes: Int get() = actualReadableBytes()

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val readableBefore = buffer.readableBytes()
        super.decode(context, buffer, out)
        // The decoder may keep the first lines of a head, or skip bytes before it, without any output.
        if (buffer.readableBytes() < readableBefore) hasPartialResponse = true
        if (out.lastOrNull() is LastHttpContent) hasPartialResponse = false
    }

    /** Called at the end of the connection, which also ends a response without a length. */
    override fun decodeLast(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decodeLast(context, buffer, out)
        if (out.lastOrNull() is LastHttpContent) hasPartialResponse = false
    }

    public override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest() || super.isContentAlwaysEmpty(message)
}
