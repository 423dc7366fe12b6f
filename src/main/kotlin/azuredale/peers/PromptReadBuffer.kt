package azuredale.peers

import azuredale.time.Timestamp

/**
 * Prompt parts that servers have read, waiting for the next report.
 *
 * A part that many requests share is reported once within [REPEAT_MICROSECONDS], since it stays cached.
 */
internal class PromptReadBuffer {
    private data class Key(
        val server: Int,
        val part: String,
    )

    private val recent = LinkedHashMap<Key, Timestamp>()
    private val pending = ArrayList<ReadEntry>()

    /** Adds [read] unless it was added recently or the buffer is full. */
    fun add(read: ReadEntry, now: Timestamp) {
        val key = Key(read.server, read.part)
        val last = recent[key]
        if (last != null && now.microsecondsSince(last) < REPEAT_MICROSECONDS) return
        if (pending.size >= MAXIMUM_PENDING) return
        recent.remove(key)
        recent[key] = now
        if (recent.size > MAXIMUM_RECENT) recent.remove(recent.keys.first())
        pending += read
    }

    /** Removes and returns the waiting reads. */
    fun take(): List<ReadEntry> {
        if (pending.isEmpty()) return emptyList()
        val taken = pending.toList()
        pending.clear()
        return taken
    }

    private companion object {
        const val REPEAT_MICROSECONDS = 500_000L

        /** Keeps a datagram within the usual maximum size of a network packet. */
        const val MAXIMUM_PENDING = 32

        /** Bounds memory; more than a fleet sends within the repeat interval. */
        const val MAXIMUM_RECENT = 2_048
    }
}
