package azuredale.transport

import azuredale.logging.EventLog
import azuredale.logging.LogEvent
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes each kind of event at most once per second, with the number of events left out since the previous one.
 *
 * This prevents remote input from flooding the log.
 */
internal class RateLimitedLog(private val log: EventLog) {
    private class State {
        val nextNanoseconds = AtomicLong(System.nanoTime())
        val suppressed = AtomicLong()
    }

    private val states = ConcurrentHashMap<LogEvent, State>()

    // The spread operator copies the array at most once per second.
    @Suppress("SpreadOperator")
    fun write(event: LogEvent, vararg fields: Pair<String, Any?>, cause: Throwable? = null) {
        val state = states.computeIfAbsent(event) { State() }
        val now = System.nanoTime()
        val next = state.nextNanoseconds.get()
        if (now - next < 0 || !state.nextNanoseconds.compareAndSet(next, now + PERIOD_NANOSECONDS)) {
            state.suppressed.incrementAndGet()
            return
        }
        val suppressed = state.suppressed.getAndSet(0)
        val all = if (suppressed == 0L) fields else arrayOf(*fields, "leftOut" to suppressed)
        log.write(event, *all, cause = cause)
    }

    private companion object {
        const val PERIOD_NANOSECONDS = 1_000_000_000L
    }
}
