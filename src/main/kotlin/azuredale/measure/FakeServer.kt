package azuredale.measure

import azuredale.configuration.BackendServer
import azuredale.configuration.PoolKind

/**
 * One attempt, as it runs on a backend server.
 *
 * @property router index of the router that sent it.
 * @property remaining number of units still to be delivered.
 * @property isMismatched whether the answer belongs to another request, so that none of it is delivered.
 */
internal class Job(
    val work: WorkItem,
    val router: Int,
    var remaining: Int,
    val onUnits: (Int) -> Unit,
    val onEnd: (JobEnd) -> Unit,
) {
    var isMismatched: Boolean = false
    var isCancelled: Boolean = false
}

/** How a job ended on its server. */
internal enum class JobEnd { COMPLETED, BROKEN, MISMATCHED }

/** Receives the job and slot events of a server. */
internal interface ServerObserver {
    /** Called when the request reaches [server], which may run it from now on. */
    fun jobArrived(server: FakeServer, job: Job)

    fun jobStarted(job: Job)

    fun jobServed(job: Job, units: Int)

    fun jobEnded(job: Job)

    /** Called before a slot of [server] becomes busy or free. */
    fun slotsChanging(server: FakeServer)
}

/**
 * Simulated backend server that runs up to [ServerPlan.concurrency] jobs at once and queues the others in FIFO order.
 *
 * A model engine uses continuous batching: each step produces one unit for every running job and takes longer with a
 * larger batch and with prompts that are not in the prefix cache. A plain service runs each job for its duration.
 */
internal class FakeServer(
    val entry: BackendServer,
    val plan: ServerPlan,
    private val kind: PoolKind,
    private val queue: EventQueue,
    private val observer: ServerObserver,
) {
    private val running = ArrayList<Job>()
    private val waiting = ArrayDeque<Job>()
    private val cached = LinkedHashMap<Long, Unit>(CACHE_CAPACITY, 0.75f, true)
    private var generation = 0
    private var isStepping = false
    private var unitsSinceReport = 0
    private var uncachedPrompts = 0

    /** Called with a prefix that entered the cache (false) or was evicted from it (true). */
    var onCache: (Long, Boolean) -> Unit = { _, _ -> }
    var isDead: Boolean = false
        private set
    var slowdown: Double = 1.0
    var isMismatching: Boolean = false
    val runningCount: Int get() = running.size
    val waitingCount: Int get() = waiting.size
    val freeSlots: Int get() = if (isDead) 0 else plan.concurrency - running.size - waiting.size

    fun submit(job: Job) {
        if (isDead) return job.onEnd(JobEnd.BROKEN)
        job.isMismatched = isMismatching
        observer.jobArrived(this, job)
        waiting.add(job)
        admit()
    }

    fun cancel(job: Job) {
        job.isCancelled = true
        observer.slotsChanging(this)
        if (waiting.remove(job) || running.remove(job)) observer.jobEnded(job)
        admit()
    }

    fun kill() {
        observer.slotsChanging(this)
        isDead = true
        generation++
        isStepping = false
        val lost = running + waiting
        running.clear()
        waiting.clear()
        cached.clear()
        lost.forEach(observer::jobEnded)
        lost.forEach { it.onEnd(JobEnd.BROKEN) }
    }

    fun revive() {
        isDead = false
    }

    /** Returns the number of units delivered since the previous call. */
    fun takeUnits(): Int = unitsSinceReport.also { unitsSinceReport = 0 }

    private fun admit() {
        while (running.size < plan.concurrency && waiting.isNotEmpty()) {
            val job = waiting.removeFirst()
            observer.slotsChanging(this)
            running.add(job)
            observer.jobStarted(job)
            when (kind) {
                PoolKind.MODEL -> cachePrefix(job.work.prefix)
                PoolKind.SERVICE -> scheduleCall(job)
            }
        }
        if (kind == PoolKind.MODEL && !isStepping && running.isNotEmpty()) scheduleStep()
    }

    private fun cachePrefix(prefix: Long?) {
        if (prefix == null || prefix !in cached) uncachedPrompts++
        if (prefix == null) return
        if (cached.put(prefix, Unit) == null) onCache(prefix, false)
        if (cached.size > CACHE_CAPACITY) cached.keys.first().let { cached.remove(it).also { _ -> onCache(it, true) } }
    }

    private fun scheduleCall(job: Job) {
        val started = generation
        queue.after((job.work.duration * slowdown / plan.speed).toLong()) {
            if (started == generation && !job.isCancelled) deliver(job, job.remaining)
        }
    }

    private fun scheduleStep() {
        isStepping = true
        val started = generation
        val step = (STEP_BASE + STEP_PER_JOB * running.size + STEP_PER_PROMPT * uncachedPrompts) * slowdown / plan.speed
        uncachedPrompts = 0
        val batch = running.toList()
        queue.after(step.toLong()) {
            if (started == generation) {
                isStepping = false
                batch.forEach { if (!it.isCancelled) deliver(it, 1) }
                admit()
            }
        }
    }

    private fun deliver(job: Job, units: Int) {
        job.remaining -= units
        unitsSinceReport += units
        observer.jobServed(job, units)
        if (!job.isMismatched) job.onUnits(units)
        if (job.remaining > 0) return
        observer.slotsChanging(this)
        running.remove(job)
        observer.jobEnded(job)
        job.onEnd(if (job.isMismatched) JobEnd.MISMATCHED else JobEnd.COMPLETED)
        if (kind == PoolKind.SERVICE) admit()
    }

    private companion object {
        /** Microseconds of a step at speed 1 without jobs; with 8 jobs it is 40 ms, just under the 42 ms objective. */
        const val STEP_BASE = 24_000.0
        const val STEP_PER_JOB = 2_000.0

        /** Microseconds that the prompt of a job adds to a step if its prefix is not cached. */
        const val STEP_PER_PROMPT = 8_000.0
        const val CACHE_CAPACITY = 24
    }
}
