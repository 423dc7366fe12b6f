package azuredale.measure

import java.lang.management.ManagementFactory

/** Measures heap and processor time of the calling thread. */
internal object CapacityMeter {
    private const val COLLECTIONS = 3
    private const val COPIES = 16
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private val memory = ManagementFactory.getMemoryMXBean()
    private val threads = ManagementFactory.getThreadMXBean()

    /** The last result of [create] and the bytes that one result keeps alive. */
    fun <T : Any> heapOf(create: () -> T): Pair<T, Double> {
        // The first call loads classes and fills caches. The collector counts whole regions, about 1 MB, so the figure
        // is the mean over several results.
        create()
        val before = usedHeap()
        val created = List(COPIES) { create() }
        val bytes = (usedHeap() - before).toDouble() / COPIES
        return created.last() to bytes
    }

    /** Microseconds of processor time per call of [action] over [rounds] calls, after as many for warming up. */
    fun microseconds(rounds: Int, action: (Int) -> Unit): Double {
        repeat(rounds) { action(it) }
        val before = threads.currentThreadCpuTime
        repeat(rounds) { action(rounds + it) }
        return (threads.currentThreadCpuTime - before) / NANOSECONDS_PER_MICROSECOND / rounds
    }

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }
}
