package azuredale.gateway

import io.vertx.core.buffer.Buffer

/** A whole event of a stream with its number, null when it bears none. */
public class StreamEvent(
    public val bytes: Buffer,
    public val number: Long?,
)

/**
 * Cuts a stream of server-sent events into whole events, so that a broken stream never passes on half of one.
 *
 * An event ends with an empty line. What follows the last empty line is held back until it is whole.
 */
internal class EventSplitter {
    private var pending = Buffer.buffer()
    private var scanned = 0

    /** Bytes of an event that is not whole yet. */
    val pendingBytes: Int get() = pending.length()

    /** The bytes of an event that is not whole, which end a stream that the server declares complete. */
    fun rest(): Buffer = pending.also { pending = Buffer.buffer() }

    /** Takes [bytes] and returns the events that are whole now. */
    fun take(bytes: Buffer): List<StreamEvent> {
        pending = if (pending.length() == 0) bytes else pending.appendBuffer(bytes)
        val events = ArrayList<StreamEvent>(2)
        var start = 0
        var position = scanned
        while (position < pending.length()) {
            if (pending.getByte(position) == LINE_FEED && isLineEmptyBefore(position, start)) {
                val event = pending.slice(start, position + 1)
                events += StreamEvent(event, numberOf(event))
                start = position + 1
            }
            position++
        }
        if (start >
            0
        ) {
            pending = if (start == pending.length()) Buffer.buffer() else pending.getBuffer(start, pending.length())
        }
        scanned = pending.length()
        return events
    }

    private fun isLineEmptyBefore(position: Int, start: Int): Boolean {
        var before = position - 1
        if (before >= start && pending.getByte(before) == CARRIAGE_RETURN) before--
        return before >= start && pending.getByte(before) == LINE_FEED
    }

    private fun numberOf(event: Buffer): Long? {
        var start = 0
        while (start < event.length()) {
            var end = start
            while (end < event.length() && event.getByte(end) != LINE_FEED) end++
            if (end - start > ID_FIELD.length && event.getString(start, start + ID_FIELD.length) == ID_FIELD) {
                return event.getString(start + ID_FIELD.length, end).trim().toLongOrNull()
            }
            start = end + 1
        }
        return null
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
