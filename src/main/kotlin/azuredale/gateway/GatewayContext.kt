package azuredale.gateway

import azuredale.admission.PromptAdmission
import azuredale.directory.BackendEntry
import azuredale.engine.Choice
import azuredale.engine.ServerChooser
import azuredale.engine.ServerStatistics
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp

/** A timer that can be cancelled. */
public fun interface Timer {
    /** Cancels the timer; has no effect if it has fired. */
    public fun cancel()
}

/** Creates an [AttemptLedger] for each attempt and records the prompt parts sent with it. */
internal class Ledgers(
    private val statistics: ServerStatistics,
    private val onSent: (BackendEntry, List<PromptPart>) -> Unit,
    private val onExcluded: (Choice.Chosen) -> Unit,
) {
    fun begin(choice: Choice.Chosen, prompt: PromptShape?, now: Timestamp): AttemptLedger {
        val shared = prompt?.parts?.dropLast(1).orEmpty()
        if (shared.isNotEmpty()) {
            statistics.cache.record(choice.server.id, shared)
            onSent(choice.server, shared)
        }
        return AttemptLedger(statistics, choice, now, onExcluded)
    }
}

/** Dependencies shared by all requests of one router. */
internal class GatewayContext(
    val settings: GatewaySettings,
    val clock: Clock,
    val admission: RequestAdmission,
    val chooser: ServerChooser,
    val prompts: PromptAdmission,
    val ledger: Ledgers,
    val retries: RetryAllowance,
    val backends: Backends,
    val format: AnswerFormat,
    val metrics: GatewayMetrics,
    val log: EventLog,
    /** Schedules an action for a given time. */
    val timer: (Timestamp, () -> Unit) -> Timer,
)
