package azuredale.routing

import io.vertx.core.buffer.Buffer

/** Decodes a stream of server-sent events into the data of its events. */
internal class SseDecoder(private val maximumEventBytes: Int = 1_048_576) {
    private var pending: Buffer = Buffer.buffer()

    /**
     * Appends [bytes] and returns the data of all events completed by them.
     *
     * @throws IllegalStateException if an event exceeds the size limit.
     */
    fun feed(bytes: Buffer): List<String> {
        pending.appendBuffer(bytes)
        val events = mutableListOf<String>()
        var start = 0
        var lineStart = 0
        for (index in 0 until pending.length()) {
            if (pending.getByte(index) != NEWLINE) continue
            val isBlank =
                index == lineStart || (index == lineStart + 1 && pending.getByte(lineStart) == CARRIAGE_RETURN)
            if (isBlank) {
                data(pending.getString(start, lineStart))?.let(events::add)
                start = index + 1
            }
            lineStart = index + 1
        }
        pending = pending.getBuffer(start, pending.length())
        check(pending.length() <= maximumEventBytes) { "server-sent event exceeds $maximumEventBytes bytes" }
        return events
    }

    private fun data(event: String): String? {
        val lines = event.lineSequence().filter { it.startsWith("data:") }
        val data = lines.joinToString("\n") { it.removePrefix("data:").removePrefix(" ") }
        return data.takeIf { it.isNotEmpty() }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
