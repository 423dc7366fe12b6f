package azuredale.measure

import azuredale.identity.PoolId

/** Times of one run, microseconds since its start. */
internal object RunTimes {
    /** Leaves the routers time to discover each other and to read the document before the load begins. */
    const val LOAD_START: Long = 3 * EventQueue.SECOND
    const val MEASURE_FROM: Long = 6 * EventQueue.SECOND
    const val FAULT_START: Long = 14 * EventQueue.SECOND
    const val END: Long = 44 * EventQueue.SECOND
}

/** Measurement windows of one pool around a fault. */
internal class FaultWindows(
    val recovery: List<GapWindow>,
    val sides: List<GapWindow>,
    val utilisation: UtilisationWindow,
)

/** One finished run of the system or of a baseline. */
internal class RunResult(
    val recorder: RunRecorder,
    val windows: Map<PoolId, FaultWindows>,
) {
    fun meter(pool: PoolId): PoolMeter = recorder.meters.getValue(pool)
}

/** Control traffic of the routers during the measured interval. */
internal class TrafficResult(
    val seconds: Double,
    val sent: List<Long>,
    val received: List<Long>,
    val messages: List<Long>,
    val platformCalls: Long,
    val claimCalls: Long,
)

/** Results of the system and of both baselines under the same load. */
internal class ExperimentResult(
    val profile: Profile,
    val fault: Fault?,
    val seed: Long,
    val requests: Int,
    val system: RunResult,
    val global: RunResult,
    val isolated: RunResult,
    val traffic: TrafficResult,
    val fleet: Fleet,
)

/** Runs the load of [profile] three times: through the routers, through a global queue and with isolated routers. */
internal class Experiment(
    private val profile: Profile,
    private val fault: Fault?,
    private val options: FleetOptions,
) {
    private val work =
        LoadGenerator(profile, options.seed, RunTimes.LOAD_START, RunTimes.END, fault?.flood(profile)).generate()

    fun run(): ExperimentResult {
        val queue = EventQueue()
        val recorder = recorder(queue)
        val fleet = Fleet(profile, options, queue, recorder)
        val windows = addWindows(recorder)
        fleet.callers.schedule(work)
        fault?.schedule(fleet)
        queue.runUntil(RunTimes.MEASURE_FROM)
        val before = snapshot(fleet)
        queue.runUntil(RunTimes.END)
        recorder.finish()
        return ExperimentResult(
            profile = profile,
            fault = fault,
            seed = options.seed,
            requests = work.size,
            system = RunResult(recorder, windows),
            global = baseline(parts = 1),
            isolated = baseline(parts = profile.routers),
            traffic = difference(before, snapshot(fleet)),
            fleet = fleet,
        )
    }

    private fun recorder(queue: EventQueue) = RunRecorder(queue, profile, work, RunTimes.MEASURE_FROM)

    private fun baseline(parts: Int): RunResult {
        val queue = EventQueue()
        val recorder = recorder(queue)
        val run = BaselineRun(profile, queue, recorder, parts)
        val windows = addWindows(recorder)
        run.run(work, RunTimes.END)
        return RunResult(recorder, windows)
    }

    private fun addWindows(recorder: RunRecorder): Map<PoolId, FaultWindows> = profile.pools.associate { pool ->
        val end = fault?.end ?: RunTimes.FAULT_START
        val steps = if (fault == null) 0 else RECOVERY_STEPS
        val recovery = (0..steps).map { recorder.addWindow(pool.id, end + it * RECOVERY_STEP) }
        val sides = if (fault == Fault.PARTITION_REJOIN) sideWindows(recorder, pool.id, end) else emptyList()
        val utilisation = recorder.addUtilisation(pool.id, RunTimes.FAULT_START - FAULT_MARGIN, end + FAULT_MARGIN)
        pool.id to FaultWindows(recovery, sides, utilisation)
    }

    private fun sideWindows(recorder: RunRecorder, pool: PoolId, end: Long): List<GapWindow> {
        val small = Fault.smallSide(profile)
        val large = (0 until profile.routers).toSet() - small
        return listOf(small, large).map { side ->
            recorder.addWindow(pool, RunTimes.FAULT_START, side).also { recorder.freezeAt(it, end) }
        }
    }

    private fun snapshot(fleet: Fleet): TrafficResult {
        // The network also has counters for the platform and the backend servers, which are not routers of the fleet.
        val traffic = fleet.hosts.map { fleet.network.traffic.getValue(it.settings.router) }
        return TrafficResult(
            seconds = fleet.queue.now.toDouble() / EventQueue.SECOND,
            sent = traffic.map { it.bytesSent },
            received = traffic.map { it.bytesReceived },
            messages = traffic.map { it.messages },
            platformCalls = fleet.platform.calls,
            claimCalls = fleet.platform.claimCalls,
        )
    }

    private fun difference(before: TrafficResult, after: TrafficResult) = TrafficResult(
        seconds = after.seconds - before.seconds,
        sent = after.sent.zip(before.sent, Long::minus),
        received = after.received.zip(before.received, Long::minus),
        messages = after.messages.zip(before.messages, Long::minus),
        platformCalls = after.platformCalls - before.platformCalls,
        claimCalls = after.claimCalls - before.claimCalls,
    )

    companion object {
        /** A new recovery window begins every 500 ms, up to 15 s after the end of the fault. */
        const val RECOVERY_STEP: Long = 500 * EventQueue.MILLISECOND
        const val RECOVERY_STEPS: Int = 30
        private const val FAULT_MARGIN = 5 * EventQueue.SECOND
    }
}
