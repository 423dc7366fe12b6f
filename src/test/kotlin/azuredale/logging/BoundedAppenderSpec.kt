package azuredale.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BoundedAppenderSpec {
    private class StalledAppender(private val release: CountDownLatch) : AppenderBase<ILoggingEvent>() {
        val written = AtomicInteger()

        override fun append(event: ILoggingEvent) {
            release.await()
            written.incrementAndGet()
        }
    }

    @Test
    fun `drops and counts lines instead of blocking when the reader stalls`() {
        // Guards against requests that block on logging because the pipe behind standard output is full.
        val context = LoggerContext().also { it.mdcAdapter = LogbackMDCAdapter() }
        val release = CountDownLatch(1)
        val reader = StalledAppender(release).also { it.context = context }
        val appender = BoundedAppender().also { it.context = context }
        reader.start()
        appender.addAppender(reader)
        appender.start()
        val before = BoundedAppender.droppedLines
        // While the reader stalls, the worker holds up to one queue of lines and the queue holds another.
        val lines = BoundedAppender.QUEUE_LINES * 4
        val writer =
            Thread {
                repeat(lines) {
                    appender.doAppend(LoggingEvent("", context.getLogger("test"), Level.INFO, "line", null, null))
                }
            }
        writer.start()
        writer.join(TimeUnit.SECONDS.toMillis(20))
        assertTrue(!writer.isAlive, "writing log lines blocks")
        val dropped = (BoundedAppender.droppedLines - before).toInt()
        assertTrue(dropped > 0)
        release.countDown()
        // stop() interrupts the worker, so wait until the accepted lines are written.
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (dropped + reader.written.get() < lines && System.nanoTime() < deadline) Thread.sleep(5)
        appender.stop()
        assertEquals(lines, dropped + reader.written.get())
    }
}
