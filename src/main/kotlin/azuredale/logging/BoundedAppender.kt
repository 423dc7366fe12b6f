package azuredale.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Logback appender that writes log lines on another thread, through a bounded queue.
 *
 * When the queue is full, lines are dropped and counted, so that a stalled reader of the log does not block requests.
 */
public class BoundedAppender : AsyncAppender() {
    init {
        queueSize = QUEUE_LINES
        // By default logback drops lines below WARN when the queue is nearly full; 0 keeps all lines until it is full.
        discardingThreshold = 0
        isNeverBlock = true
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) dropped.incrementAndGet() else super.append(event)
    }

    public companion object {
        /** Holds a few seconds of log lines of a busy router, about 1 MB. */
        public const val QUEUE_LINES: Int = 2_048
        private val dropped = AtomicLong()

        /** Number of lines dropped since the start of the process. */
        public val droppedLines: Long get() = dropped.get()
    }
}
