package azuredale.measure

import azuredale.outcome.ErrorKind

/** Runs one [scenario] in virtual time and checks its expectations and all invariants. */
internal class ScenarioRun(
    val scenario: Scenario,
    createOptions: (Long) -> FleetOptions,
) {
    /** The global queue under the same load, for expectations that compare the run with it. */
    class Reference(
        val queue: EventQueue,
        val recorder: RunRecorder,
        val run: BaselineRun,
    )

    private val queue = EventQueue()
    private val profile = scenario.profile
    private val work =
        LoadGenerator(profile, scenario.seed, RunTimes.LOAD_START, scenario.loadEnd, scenario.flood).generate()
    private val reference =
        lazy {
            val own = EventQueue()
            val recorder = RunRecorder(own, profile, work, RunTimes.LOAD_START)
            Reference(own, recorder, BaselineRun(profile, own, recorder, parts = 1))
        }
    val fleet: Fleet =
        Fleet(profile, createOptions(scenario.seed), queue, RunRecorder(queue, profile, work, RunTimes.LOAD_START))
    val global: Reference by reference
    val arrivals: ArrayList<ArrivalRecord> = ArrayList()

    fun count(kind: ErrorKind?): Int = fleet.callers.results[kind] ?: 0

    /** Runs the scenario and returns one line for each violated invariant and each unmet expectation. */
    fun run(): List<String> {
        val checks = scenario.expectations.map { it to it.prepare(this) }
        val checkEligibility = fleet.recorder.onArrival
        fleet.recorder.onArrival = { server, job ->
            arrivals.add(ArrivalRecord(queue.now, server, job.router))
            checkEligibility(server, job)
        }
        fleet.callers.areKeysRepeated = scenario.areKeysRepeated
        fleet.callers.schedule(work)
        scenario.steps.forEach { step -> queue.at(step.time) { step.action(this) } }
        queue.runUntil(scenario.end)
        fleet.recorder.finish()
        if (reference.isInitialized()) global.run.run(work, scenario.end)
        return fleet.invariants.violations.map { "${scenario.file}: $it" } +
            checks.mapNotNull { (expectation, check) ->
                check()?.let { "${scenario.file}:${expectation.line}: ${expectation.text}: $it" }
            }
    }
}
