package azuredale.measure

import azuredale.time.Timestamp
import java.util.PriorityQueue

/** Event loop in virtual time, microseconds since the start of the run; simultaneous events run in insertion order. */
internal class EventQueue {
    private class Entry(
        val time: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val entries = PriorityQueue(compareBy<Entry>({ it.time }, { it.order }))
    private var order = 0L

    var now: Long = 0
        private set

    fun at(time: Long, action: () -> Unit) {
        entries.add(Entry(maxOf(time, now), order++, action))
    }

    fun after(delay: Long, action: () -> Unit): Unit = at(now + delay, action)

    /** Runs [action] every [period], for the first time at [first]. */
    fun every(period: Long, first: Long, action: () -> Unit): Unit = at(first) {
        action()
        every(period, first + period, action)
    }

    fun runUntil(end: Long) {
        while (entries.isNotEmpty() && entries.peek().time <= end) {
            val entry = entries.poll()
            now = entry.time
            entry.action()
        }
        now = maxOf(now, end)
    }

    /** Returns the virtual time as shown by a wall clock that is off by [skew] microseconds. */
    fun wallClock(skew: Long = 0): Timestamp = Timestamp(EPOCH_MICROSECONDS + now + skew)

    companion object {
        const val MILLISECOND: Long = 1_000
        const val SECOND: Long = 1_000_000
        private const val EPOCH_MICROSECONDS = 1_800_000_000_000_000
    }
}
