package azuredale.platform

import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.EnumMap

/**
 * Encodes complete responses to refused requests.
 *
 * All responses of one kind have the same bytes but for the time to return, so these are built once.
 */
internal class RefusalEncoder {
    private class Template(kind: ErrorKind) {
        val head: ByteArray =
            (
                "HTTP/1.1 ${HttpResponseStatus.valueOf(kind.status)}\r\nContent-Type: text/plain\r\n" +
                    "Content-Length: ${kind.text.encodeToByteArray().size}\r\n"
            ).encodeToByteArray()
        val body: ByteArray = "\r\n${kind.text}".encodeToByteArray()
    }

    private val templates = EnumMap<ErrorKind, Template>(ErrorKind::class.java)

    /** Encodes the response to a request that is refused with [failure]; [isClosing] announces the connection's end. */
    fun encode(failure: Failure, now: Timestamp, isClosing: Boolean, allocator: ByteBufAllocator): ByteBuf {
        val template = templates.getOrPut(failure.kind) { Template(failure.kind) }
        val bytes = allocator.buffer(template.head.size + template.body.size + MAXIMUM_FIELDS_BYTES)
        bytes.writeBytes(template.head)
        if (isClosing) bytes.writeBytes(CLOSING)
        failure.retryAt?.let { retryAt ->
            bytes.writeBytes(RETRY_AFTER)
            writeSeconds(bytes, retryAt.microsecondsSince(now) / Timestamp.MICROSECONDS_PER_MILLISECOND)
        }
        return bytes.writeBytes(template.body)
    }

    /** Writes [milliseconds] as seconds with three decimal places, and the end of the line. */
    private fun writeSeconds(bytes: ByteBuf, milliseconds: Long) {
        val bounded = milliseconds.coerceIn(0, MAXIMUM_MILLISECONDS).toInt()
        writeDigits(bytes, bounded / MILLISECONDS_PER_SECOND, minimum = 1)
        bytes.writeByte('.'.code)
        writeDigits(bytes, bounded % MILLISECONDS_PER_SECOND, minimum = DECIMAL_PLACES)
        bytes.writeBytes(LINE_END)
    }

    private fun writeDigits(bytes: ByteBuf, number: Int, minimum: Int) {
        if (number >= BASE || minimum > 1) writeDigits(bytes, number / BASE, minimum - 1)
        bytes.writeByte('0'.code + number % BASE)
    }

    private companion object {
        const val BASE = 10
        const val DECIMAL_PLACES = 3
        const val MILLISECONDS_PER_SECOND = 1_000

        /** Callers do not wait longer than a day. */
        const val MAXIMUM_MILLISECONDS = 86_400_000L

        /** Room for the fields that not all responses have. */
        const val MAXIMUM_FIELDS_BYTES = 64
        val CLOSING = "Connection: close\r\n".encodeToByteArray()
        val RETRY_AFTER = "${PlatformHeader.RETRY_AFTER}: ".encodeToByteArray()
        val LINE_END = "\r\n".encodeToByteArray()
    }
}
