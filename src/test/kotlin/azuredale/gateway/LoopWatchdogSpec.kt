package azuredale.gateway

import azuredale.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals

class LoopWatchdogSpec {
    private val watchdog = LoopWatchdog()
    private var now = Timestamp.ofMilliseconds(1_000_000)

    /** Checks once a second; returns the number of checks until the loop counts as stopped, null if it never does. */
    private fun checks(count: Int, delayMilliseconds: (Int) -> Long = { 0 }, progress: (Int) -> Long): Int? =
        (1..count).firstOrNull { check ->
            now = now.plusMilliseconds(1_000 + delayMilliseconds(check))
            watchdog.hasStopped(progress(check), now)
        }

    @Test
    fun `an event loop without progress has stopped`() {
        // Guards against a process that lives on without answering anyone.
        assertEquals(null, checks(100) { it.toLong() })
        assertEquals(11, checks(100) { 7L })
    }

    @Test
    fun `a slow event loop has not stopped`() {
        // Guards against a process that ends because its VM is crowded.
        assertEquals(null, checks(100) { it / 9L })
    }

    @Test
    fun `an event loop whose VM stood still has not stopped`() {
        // Guards against a process that ends after a freeze of its VM, or because it gets little processor time.
        assertEquals(null, checks(8) { 7L })
        assertEquals(null, checks(9, { if (it == 1) 60_000 else 0 }) { 7L })
        assertEquals(null, checks(100, { if (it % 5 == 0) 800 else 0 }) { 8L })
    }
}
