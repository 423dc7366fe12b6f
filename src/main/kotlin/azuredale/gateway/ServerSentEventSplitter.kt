package azuredale.gateway

import io.vertx.core.buffer.Buffer

/**
 * A complete event of a stream.
 *
 * @property number its id, null if it has none.
 * @property hasContent whether it has an id or data; comments and empty events have neither.
 */
public class StreamEvent(
    public val bytes: Buffer,
    public val number: Long?,
    public val hasContent: Boolean,
)

/** Events that were read together, to be written together. */
internal class EventBatch {
    private var joined: Buffer? = null

    /** The bytes of all events, null if there are none. */
    var bytes: Buffer? = null
        private set

    fun add(event: StreamEvent) {
        val earlier = bytes
        if (earlier == null) {
            bytes = event.bytes
            return
        }
        // The bytes of an event are a view of what was read, so they are copied before others are appended.
        val target = joined ?: Buffer.buffer().appendBuffer(earlier).also { joined = it }
        bytes = target.appendBuffer(event.bytes)
    }
}

/**
 * Splits a stream of server-sent events, so that an interrupted stream never forwards a partial event.
 *
 * An event ends with an empty line. Bytes after the last empty line are buffered until their event is complete.
 */
internal class ServerSentEventSplitter {
    private var pending = Buffer.buffer()
    private var scanned = 0

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = pending.length()

    /** Adds [bytes] and returns the events that are now complete. */
    fun append(bytes: Buffer): List<StreamEvent> {
        pending = if (pending.length() == 0) bytes else pending.appendBuffer(bytes)
        val events = ArrayList<StreamEvent>(2)
        var start = 0
        var position = scanned
        while (position < pending.length()) {
            if (pending.getByte(position) == LINE_FEED && endsEmptyLine(position, start)) {
                val event = pending.slice(start, position + 1)
                val number = parseNumber(event)
                events += StreamEvent(event, number, hasContent = number != null || hasData(event))
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

    private fun endsEmptyLine(position: Int, start: Int): Boolean {
        var before = position - 1
        if (before >= start && pending.getByte(before) == CARRIAGE_RETURN) before--
        return before >= start && pending.getByte(before) == LINE_FEED
    }

    private fun parseNumber(event: Buffer): Long? = field(event, ID_FIELD)?.toLongOrNull()

    private fun hasData(event: Buffer) = !field(event, DATA_FIELD).isNullOrEmpty()

    /** Value of the first line of [event] that begins with [name], null if there is none. */
    private fun field(event: Buffer, name: String): String? {
        var start = 0
        while (start < event.length()) {
            var end = start
            while (end < event.length() && event.getByte(end) != LINE_FEED) end++
            if (end - start > name.length && event.getString(start, start + name.length) == name) {
                return event.getString(start + name.length, end).trim()
            }
            start = end + 1
        }
        return null
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
        const val DATA_FIELD = "data:"
    }
}
