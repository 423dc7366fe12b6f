package azuredale.edge

import azuredale.selftest.RawServer.Companion.response
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals

class BackendResponseDecoderSpec {
    enum class Input(
        val bytes: String,
        val isBetweenResponses: Boolean,
        val isEnded: Boolean = false,
    ) {
        NOTHING("", true),
        WHOLE(response("1", "x"), true),
        PART_OF_A_BODY(response("1", "x").dropLast(1), false),
        STATUS_LINE("HTTP/1.1 200 OK\r\n", false),
        BLANK_LINE_AFTER(response("1", "x") + "\r\n", false),
        BYTE_AFTER(response("1", "x") + "H", false),
        WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n\r\nx", false),
        WITHOUT_LENGTH_ENDED("HTTP/1.1 200 OK\r\n\r\nx", true, isEnded = true),
    }

    @ParameterizedTest
    @EnumSource(Input::class)
    fun `knows whether it has read a part of a response`(input: Input) {
        // Guards against a connection that is used again with bytes left over, and a sound one that is reported.
        val decoder = BackendResponseDecoder { false }
        val channel = EmbeddedChannel(decoder)
        channel.writeInbound(Unpooled.copiedBuffer(input.bytes, Charsets.US_ASCII))
        if (input.isEnded) channel.finish()
        assertEquals(input.isBetweenResponses, decoder.isBetweenResponses)
        channel.finishAndReleaseAll()
    }
}
