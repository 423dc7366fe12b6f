package azuredale.measure

import java.lang.management.ManagementFactory

/** Measures heap usage, and CPU time of the calling thread. */
internal object CapacityMeter {
    private const val GC_RUNS = 3
    private const val SAMPLES = 16
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private val memory = ManagementFactory.getMemoryMXBean()
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the last result of [create] and the mean number of heap bytes that one result retains. */
    fun <T : Any> retainedHeap(create: () -> T): Pair<T, Double> {
        // The first call loads classes and fills caches. The garbage collector reports usage in whole regions of about
        // 1 MB, so the figure is the mean of several results.
        create()
        val before = usedHeap()
        val created = List(SAMPLES) { create() }
        val bytes = (usedHeap() - before).toDouble() / SAMPLES
        return created.last() to bytes
    }

    /** Returns the CPU time per call of [action] over [rounds] calls, after as many warm-up calls. */
    fun microseconds(rounds: Int, action: (Int) -> Unit): Double {
        repeat(rounds) { action(it) }
        val before = threads.currentThreadCpuTime
        repeat(rounds) { action(rounds + it) }
        return (threads.currentThreadCpuTime - before) / NANOSECONDS_PER_MICROSECOND / rounds
    }

    private fun usedHeap(): Long {
        repeat(GC_RUNS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }
}
