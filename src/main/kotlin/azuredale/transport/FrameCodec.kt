@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.transport

import azuredale.protocol.PeerMessage
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer

/**
 * Encodes and decodes the frames of one connection.
 *
 * A frame consists of a 4-byte length of the rest of the frame, the protocol version, an 8-byte sequence number, a CBOR
 * body and a truncated HMAC-SHA-256 over all preceding bytes. Each direction has its own key, sequence and name table.
 * One thread may send while another one receives.
 *
 * ```
 * val frames = codec.encode(listOf(DocumentAnnounce(Revision(3))))
 * ```
 *
 * @param intern returns the same instance for equal names, which saves memory across many connections.
 */
public class FrameCodec(
    sendKey: ByteArray,
    receiveKey: ByteArray,
    limits: FrameLimits = FrameLimits(),
    intern: (String) -> String = { it },
) {
    private val sender = FrameEncoder(MessageAuthenticator(sendKey), limits)
    private val receiver = FrameDecoder(MessageAuthenticator(receiveKey), limits, intern)

    /** Encodes [messages] into as few frames as the size limit allows; an empty list gives one empty frame. */
    public fun encode(messages: List<PeerMessage>): EncodeResult = try {
        sender.encode(messages)
    } catch (_: FrameException) {
        EncodeResult.NamesExhausted
    }

    /** Decodes a complete [frame], including its length field. Refuses invalid input and never throws. */
    public fun decode(frame: ByteArray): FrameResult = try {
        receiver.decode(frame)
    } catch (fault: FrameException) {
        FrameResult.Refused(fault.fault, fault.message.orEmpty())
    } catch (fault: SerializationException) {
        FrameResult.Refused(FrameFault.MALFORMED, fault.message.orEmpty().take(DETAIL_CHARACTERS))
    } catch (fault: RuntimeException) {
        FrameResult.Refused(FrameFault.MALFORMED, fault.toString().take(DETAIL_CHARACTERS))
    }

    public companion object {
        /** Protocol version in every frame and handshake. */
        public const val PROTOCOL_VERSION: Int = 1

        /** Size of the length field. */
        public const val LENGTH_BYTES: Int = 4

        internal const val HEADER_BYTES = LENGTH_BYTES + 1 + Long.SIZE_BYTES
        private const val DETAIL_CHARACTERS = 200
    }
}

internal class FrameEncoder(
    private val authenticator: MessageAuthenticator,
    private val limits: FrameLimits,
) {
    private val table = SentNameTable(limits)
    private val cbor = frameCbor(table)
    private var sequence = 0L

    fun encode(messages: List<PeerMessage>): EncodeResult.Encoded {
        val frames = ArrayList<ByteArray>()
        val pending = ArrayList<ByteArray>()
        var pendingBytes = 0
        var oversized = 0
        for (message in messages) {
            val encoded = cbor.encodeToByteArray(PeerMessageSerializer, message)
            if (encoded.size > capacity()) {
                oversized++
                continue
            }
            if (pendingBytes + encoded.size > capacity()) {
                frames += frame(pending)
                pending.clear()
                pendingBytes = 0
            }
            pending += encoded
            pendingBytes += encoded.size
        }
        if (pending.isNotEmpty() || messages.isEmpty()) frames += frame(pending)
        return EncodeResult.Encoded(frames, oversized)
    }

    /** Bytes available for messages in the next frame, which also defines the names added since the previous one. */
    private fun capacity(): Int {
        val nameBytes = table.undefined.sumOf { it.length * UTF8_BYTES_PER_CHARACTER + NAME_HEAD_BYTES }
        return limits.frameBytes - FIXED_BYTES - nameBytes
    }

    private fun frame(messages: List<ByteArray>): ByteArray {
        val body = ByteArrayOutputStream()
        body.write(ARRAY_OF_TWO)
        body.writeBytes(cbor.encodeToByteArray(ListSerializer(String.serializer()), table.undefined))
        writeArrayHead(body, messages.size)
        messages.forEach(body::writeBytes)
        table.markDefined()
        val size = FrameCodec.HEADER_BYTES + body.size() + MessageAuthenticator.MAC_BYTES
        val buffer = ByteBuffer.allocate(size)
        buffer.putInt(size - FrameCodec.LENGTH_BYTES)
        buffer.put(FrameCodec.PROTOCOL_VERSION.toByte())
        buffer.putLong(sequence++)
        buffer.put(body.toByteArray())
        authenticator.appendMac(buffer.array(), size - MessageAuthenticator.MAC_BYTES)
        return buffer.array()
    }

    private fun writeArrayHead(output: ByteArrayOutputStream, count: Int) {
        when {
            count < INLINE_COUNT_LIMIT -> output.write(ARRAY_MAJOR or count)
            else ->
                output.writeBytes(
                    ByteBuffer
                        .allocate(ARRAY_HEAD_BYTES)
                        .put(ARRAY_FOUR_BYTES)
                        .putInt(count)
                        .array(),
                )
        }
    }

    private companion object {
        const val ARRAY_MAJOR = 0x80
        const val ARRAY_OF_TWO = ARRAY_MAJOR or 2
        const val ARRAY_FOUR_BYTES = 0x9A.toByte()
        const val ARRAY_HEAD_BYTES = 5
        const val INLINE_COUNT_LIMIT = 24
        const val UTF8_BYTES_PER_CHARACTER = 3
        const val NAME_HEAD_BYTES = 5

        /** Size of the header, the authentication code and the heads of the three arrays in the body. */
        const val FIXED_BYTES = FrameCodec.HEADER_BYTES + MessageAuthenticator.MAC_BYTES + 3 * ARRAY_HEAD_BYTES
    }
}

private class FrameDecoder(
    private val authenticator: MessageAuthenticator,
    private val limits: FrameLimits,
    intern: (String) -> String,
) {
    private val cbor = frameCbor(ReceivedNameTable(limits, intern))
    private var expected = 0L

    fun decode(frame: ByteArray): FrameResult {
        if (frame.size < MINIMUM_BYTES) return FrameResult.Refused(FrameFault.TOO_SHORT)
        if (frame.size > limits.frameBytes + FrameCodec.LENGTH_BYTES) return FrameResult.Refused(FrameFault.TOO_LONG)
        val header = ByteBuffer.wrap(frame)
        if (header.getInt() != frame.size - FrameCodec.LENGTH_BYTES) {
            return FrameResult.Refused(FrameFault.LENGTH_MISMATCH)
        }
        val version = header.get().toInt()
        if (version != FrameCodec.PROTOCOL_VERSION) {
            return FrameResult.Refused(FrameFault.UNKNOWN_VERSION, "unsupported version $version")
        }
        if (!authenticator.hasValidMac(frame)) return FrameResult.Refused(FrameFault.WRONG_CODE)
        val sequence = header.getLong()
        if (sequence != expected) return FrameResult.Refused(FrameFault.WRONG_SEQUENCE, "expected $expected")
        expected++
        val body = frame.copyOfRange(FrameCodec.HEADER_BYTES, frame.size - MessageAuthenticator.MAC_BYTES)
        return decodeBody(body)
    }

    private fun decodeBody(body: ByteArray): FrameResult = if (CborLengths.areValid(body)) {
        FrameResult.Decoded(cbor.decodeFromByteArray(FrameBody.serializer(), body).messages)
    } else {
        FrameResult.Refused(FrameFault.MALFORMED, "CBOR item has invalid lengths")
    }

    private companion object {
        const val MINIMUM_BYTES = FrameCodec.HEADER_BYTES + 1 + MessageAuthenticator.MAC_BYTES
    }
}
