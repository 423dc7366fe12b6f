package azuredale.gateway

import azuredale.admission.PromptAdmission
import azuredale.directory.BackendEntry
import azuredale.engine.ServerSelection
import azuredale.engine.ServerSelector
import azuredale.engine.ServerStatistics
import azuredale.identity.PoolId
import azuredale.intake.Intake
import azuredale.logging.EventLog
import azuredale.resumption.StreamResumption
import azuredale.time.Clock
import azuredale.time.Timestamp

/** A timer that can be cancelled. */
public fun interface Timer {
    /** Cancels the timer; has no effect if it has fired. */
    public fun cancel()
}

/** Creates an [AttemptRecorder] for each attempt and records the prompt parts sent with it. */
internal class AttemptRecorders(
    private val statistics: ServerStatistics,
    /** Tokens of one event of a pool's streams. */
    val tokensPerEvent: (PoolId) -> Int,
    private val onSent: (BackendEntry, List<PromptPart>) -> Unit,
    private val onAnswered: (PromptShape, Timestamp) -> Unit,
    private val onExcluded: (ServerSelection.Selected) -> Unit,
    private val onLoadsUsed: (asOf: Timestamp, now: Timestamp) -> Unit,
) {
    fun create(
        selection: ServerSelection.Selected,
        prompt: PromptShape?,
        route: String,
        now: Timestamp,
    ): AttemptRecorder {
        val shared = prompt?.sharedParts.orEmpty()
        if (prompt != null) statistics.loads.oldestReport(now)?.let { onLoadsUsed(it, now) }
        val parts = if (shared.isEmpty()) null else statistics.recordPrompt(selection.server.id, shared, now)
        if (parts != null) onSent(selection.server, shared)
        return AttemptRecorder(
            statistics = statistics,
            selection = selection,
            startedAt = now,
            memory = prompt?.let { memory(selection.server, it, route, now) },
            onAnswered = { at -> if (prompt != null) onAnswered(prompt, at) },
            onExcluded = onExcluded,
            parts = parts,
            isPrompt = prompt != null,
            keptTokens = if (prompt == null) 0 else prompt.promptTokens - selection.uncachedTokens,
        )
    }

    private fun memory(server: BackendEntry, prompt: PromptShape, route: String, now: Timestamp): AttemptMemory? {
        val claim = statistics.memory.claim(server, prompt, route, now) ?: return null
        return AttemptMemory(statistics.memory, claim, server, route, tokensPerEvent(server.pool))
    }
}

/** Limits that the requests of one router share. */
internal class RequestBudgets(
    val retries: FleetRetryBudget,
    val responseBuffers: ResponseBufferBudget,
    val requestBodies: RequestBodyBudget,
)

/** Decides which requests are started and sent. */
internal class RequestAdmission(
    val intake: Intake,
    val prompts: PromptAdmission,
    val quarantine: PromptQuarantine,
    val sendGuard: SendGuard,
    val gracefulStop: GracefulStop,
    val resumption: StreamResumption,
    val memoryLog: MemoryLog,
    /** Returns a random number from 0 to 1, which spreads the returns of callers. */
    val random: () -> Double,
)

/** Logs of what the requests of one router add up to. */
internal class LoadLogs(
    val shares: ShareLog,
    val router: RouterLoadLog,
)

/** Dependencies shared by all requests of one router. */
internal class GatewayContext(
    val settings: GatewaySettings,
    val clock: Clock,
    val authorizer: RequestAuthorizer,
    val selector: ServerSelector,
    val admission: RequestAdmission,
    val recorders: AttemptRecorders,
    val budgets: RequestBudgets,
    val backends: BackendTransport,
    val failureHeaders: FailureHeaders,
    val loadLogs: LoadLogs,
    val metrics: GatewayMetrics,
    val log: EventLog,
    /** Schedules an action for a given time. */
    val timer: (Timestamp, () -> Unit) -> Timer,
)
