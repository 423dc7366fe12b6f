package azuredale.demo

import azuredale.identity.TeamId
import azuredale.measure.FairnessGap
import azuredale.time.Clock

/** Records what the callers of the demo observe; thread-safe. */
internal class DemoRecorder(
    private val shares: Map<TeamId, Double>,
    private val clock: Clock,
) {
    private val tokens = shares.keys.associateWithTo(LinkedHashMap()) { 0L }
    private val completed = shares.keys.associateWithTo(LinkedHashMap()) { 0 }
    private val outcomes = sortedMapOf<String, Int>()
    private val calls = linkedMapOf<String, ServiceCall>()
    private val violations = mutableListOf<String>()
    private val gap = FairnessGap(shares)
    private var largestRequest = 0L

    /** Records that a request of [team] waits for its first token. */
    @Synchronized
    fun waitStarted(team: TeamId): Unit = gap.waitingChanged(team, 1)

    /** Records that a request of [team] no longer waits. */
    @Synchronized
    fun waitEnded(team: TeamId): Unit = gap.waitingChanged(team, -1)

    /** Records that [team] received [count] tokens. */
    @Synchronized
    fun received(team: TeamId, count: Int) {
        tokens.merge(team, count.toLong(), Long::plus)
        gap.served(team, count.toDouble(), clock().microseconds)
    }

    /** Records the [outcome] of a completion; [isComplete] tells whether the caller got all of its own answer. */
    @Synchronized
    fun completionEnded(team: TeamId, outcome: String, tokenCount: Int, isComplete: Boolean) {
        outcomes.merge("completion $outcome", 1, Int::plus)
        if (outcome != COMPLETED) return
        completed.merge(team, 1, Int::plus)
        largestRequest = maxOf(largestRequest, tokenCount.toLong())
        if (!isComplete) violations += "a caller of team $team got an incomplete or wrong answer"
    }

    /** Records the end of a non-idempotent call. */
    @Synchronized
    fun serviceCallEnded(id: String, call: ServiceCall) {
        outcomes.merge("service call ${call.outcome}", 1, Int::plus)
        calls[id] = call
    }

    /** Checks the recorded calls against the executions that the service recorded. */
    @Synchronized
    fun checkExecutions(executions: Map<String, Int>) {
        executions.filterValues { it > 1 }.forEach { (id, count) -> violations += "call $id ran $count times" }
        calls.forEach { (id, call) ->
            val count = executions[id] ?: 0
            if (call.isNotRun && count > 0) violations += "call $id was reported as not run but ran"
            if (call.outcome == COMPLETED && count == 0) violations += "call $id was answered but did not run"
        }
    }

    /** Records the violation of a guarantee. */
    @Synchronized
    fun reportViolation(text: String) {
        violations += text
    }

    /** Returns a snapshot of all figures. */
    @Synchronized
    fun summary(): DemoSummary = DemoSummary(
        tokens = tokens.toMap(),
        completed = completed.toMap(),
        outcomes = outcomes.toMap(),
        gap = gap.figure?.gap ?: 0.0,
        minGap = largestRequest / shares.values.min(),
        violations = violations.toList(),
    )

    companion object {
        const val COMPLETED = "completed"
    }
}

/** Result of a non-idempotent call as seen by its caller. */
internal data class ServiceCall(
    val outcome: String,
    val isNotRun: Boolean,
)

/**
 * Figures of a demo run.
 *
 * @property gap fairness gap in tokens divided by share.
 * @property minGap largest request divided by the smallest share, the minimum gap of a scheduler without preemption.
 */
internal data class DemoSummary(
    val tokens: Map<TeamId, Long>,
    val completed: Map<TeamId, Int>,
    val outcomes: Map<String, Int>,
    val gap: Double,
    val minGap: Double,
    val violations: List<String>,
)
