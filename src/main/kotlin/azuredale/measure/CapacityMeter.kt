package azuredale.measure

import java.lang.management.ManagementFactory

/** Measures heap usage, and CPU time of the calling thread. */
internal object CapacityMeter {
    private const val GC_RUNS = 3
    private const val MINIMUM_SAMPLES = 16
    private const val MAXIMUM_SAMPLES = 8_192

    /** Factor between the numbers of samples, as each reading collects garbage in the whole process. */
    private const val GROWTH = 8

    /** Retained memory of all samples next to which changes elsewhere in the process, up to some 100 KB, are small. */
    private const val SIGNIFICANT_BYTES = 4L * 1_024 * 1_024
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private val memory = ManagementFactory.getMemoryMXBean()
    private val threads = ManagementFactory.getThreadMXBean()

    /**
     * Returns the last result of [create] and the mean number of heap bytes that one result retains.
     *
     * The garbage collector reports the heap of the whole process, in which caches are filled and dropped meanwhile,
     * and in whole regions of about 1 MB. So the figure is the mean of as many results as it takes to outweigh both.
     */
    fun <T : Any> retainedHeap(create: () -> T): Pair<T, Double> {
        // The first call loads classes and fills caches.
        create()
        val created = ArrayList<T>(MAXIMUM_SAMPLES)
        val before = usedHeap()
        var retained = 0L
        while (created.size < MAXIMUM_SAMPLES && retained < SIGNIFICANT_BYTES) {
            repeat(maxOf(MINIMUM_SAMPLES, created.size * (GROWTH - 1))) { created += create() }
            retained = usedHeap() - before
        }
        return created.last() to retained.toDouble() / created.size
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
