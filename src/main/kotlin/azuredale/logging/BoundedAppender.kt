package azuredale.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Hands log lines to another thread through a bounded queue.
 *
 * A line that finds the queue full is dropped and counted: a reader of the log that stands still must not hold up
 * requests.
 */
public class BoundedAppender : AsyncAppender() {
    init {
        queueSize = QUEUE_LINES
        // Lines are dropped only when the queue is full, whatever their level.
        discardingThreshold = 0
        isNeverBlock = true
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) dropped.incrementAndGet() else super.append(event)
    }

    public companion object {
        /** Some seconds of lines of a busy router, about 1 MB. */
        public const val QUEUE_LINES: Int = 2_048
        private val dropped = AtomicLong()

        /** Lines dropped since the start of the process. */
        public val droppedLines: Long get() = dropped.get()
    }
}
