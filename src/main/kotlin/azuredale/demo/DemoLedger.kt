package azuredale.demo

import azuredale.identity.TeamId
import azuredale.measure.FairnessGap
import azuredale.time.Clock

/** What the callers of the demo saw; safe for use by several threads. */
internal class DemoLedger(
    private val shares: Map<TeamId, Double>,
    private val clock: Clock,
) {
    private val tokens = shares.keys.associateWithTo(LinkedHashMap()) { 0L }
    private val completed = shares.keys.associateWithTo(LinkedHashMap()) { 0 }
    private val outcomes = sortedMapOf<String, Int>()
    private val calls = linkedMapOf<String, ServiceCall>()
    private val brokenPromises = mutableListOf<String>()
    private val gap = FairnessGap(shares)
    private var largestRequest = 0L

    /** A request of [team] waits for its first token. */
    @Synchronized
    fun waits(team: TeamId): Unit = gap.waitingChanged(team, 1)

    /** A request of [team] no longer waits. */
    @Synchronized
    fun noLongerWaits(team: TeamId): Unit = gap.waitingChanged(team, -1)

    /** [team] received [count] tokens. */
    @Synchronized
    fun received(team: TeamId, count: Int) {
        tokens.merge(team, count.toLong(), Long::plus)
        gap.served(team, count.toDouble(), clock().microseconds)
    }

    /** A completion ended with [outcome]; [isWhole] tells whether the caller got its own whole answer. */
    @Synchronized
    fun completionEnded(team: TeamId, outcome: String, tokenCount: Int, isWhole: Boolean) {
        outcomes.merge("completion $outcome", 1, Int::plus)
        if (outcome != COMPLETED) return
        completed.merge(team, 1, Int::plus)
        largestRequest = maxOf(largestRequest, tokenCount.toLong())
        if (!isWhole) brokenPromises += "a caller of team $team got an answer that is not its own whole answer"
    }

    /** A non-idempotent call ended. */
    @Synchronized
    fun serviceCallEnded(id: String, call: ServiceCall) {
        outcomes.merge("service call ${call.outcome}", 1, Int::plus)
        calls[id] = call
    }

    /** Compares the calls with the executions that the service recorded. */
    @Synchronized
    fun checkExecutions(executions: Map<String, Int>) {
        executions.filterValues { it > 1 }.forEach { (id, count) -> brokenPromises += "call $id ran $count times" }
        calls.forEach { (id, call) ->
            val count = executions[id] ?: 0
            if (call.isNotRun && count > 0) brokenPromises += "call $id was answered \"not run\" but ran"
            if (call.outcome == COMPLETED && count == 0) brokenPromises += "call $id was answered but never ran"
        }
    }

    /** Records a promise that was broken. */
    @Synchronized
    fun broken(text: String) {
        brokenPromises += text
    }

    /** A copy of all figures. */
    @Synchronized
    fun summary(): DemoSummary = DemoSummary(
        tokens = tokens.toMap(),
        completed = completed.toMap(),
        outcomes = outcomes.toMap(),
        gap = gap.figure?.gap ?: 0.0,
        leastGap = largestRequest / shares.values.min(),
        brokenPromises = brokenPromises.toList(),
    )

    companion object {
        const val COMPLETED = "completed"
    }
}

/** How a non-idempotent call ended, as its caller saw it. */
internal data class ServiceCall(
    val outcome: String,
    val isNotRun: Boolean,
)

/**
 * Figures of a demo run.
 *
 * @property gap fairness gap in tokens divided by share.
 * @property leastGap largest request divided by the smallest share, which no scheduler without preemption can beat.
 */
internal data class DemoSummary(
    val tokens: Map<TeamId, Long>,
    val completed: Map<TeamId, Int>,
    val outcomes: Map<String, Int>,
    val gap: Double,
    val leastGap: Double,
    val brokenPromises: List<String>,
)
