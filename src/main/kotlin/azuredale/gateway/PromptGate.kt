package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.identity.PartId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.quarantine.Quarantine
import azuredale.quarantine.QuarantineDecision
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.Deferred

/** Quarantine of prompt parts that crash servers, with what a router needs to apply it. */
internal class PromptQuarantine(
    val parts: Quarantine,
    val serverEnds: ServerEndDetector,
    /** Claims the next trial of a quarantined part after a number of earlier trials. */
    val claimTrial: suspend (PartId, trials: Int) -> Boolean,
)

/** Applies the quarantine to one request; a request without a [prompt] is not affected. */
internal class PromptGate(
    private val prompt: PromptShape?,
    private val quarantine: PromptQuarantine,
    private val clock: Clock,
) {
    /** The quarantined part whose trial this request is. */
    private var trialOf: PartId? = null

    /** Returns the failure if the prompt may not be sent to any server now; may claim a trial that is due. */
    suspend fun refusal(now: Timestamp): Failure? {
        val failure = preview(now) ?: return null
        val decision = prompt?.let { quarantine.parts.decide(it, now) } as? QuarantineDecision.Quarantined
        val trialAt = decision?.trialAt ?: return failure
        if (now < trialAt || !quarantine.claimTrial(decision.part, decision.trials)) return failure
        trialOf = decision.part
        return null
    }

    /** Returns the failure if the prompt may not be sent to any server now, other than for a trial; has no effect. */
    fun preview(now: Timestamp): Failure? {
        if (prompt == null) return null
        if (!quarantine.parts.isKnown) {
            return Failure(ErrorKind.NOT_READY, "quarantine not known", RetryDelay.afterDisruption(now))
        }
        val decision = quarantine.parts.decide(prompt, now)
        if (decision !is QuarantineDecision.Quarantined || decision.part == trialOf) return null
        val retryAt = maxOf(decision.trialAt ?: now, now.plusMilliseconds(Quarantine.TRIAL_MILLISECONDS))
        return Failure(ErrorKind.PROMPT_QUARANTINED, "part ${decision.part}", retryAt)
    }

    /** The part because of which the request may only go to one server, null if any server may get it. */
    fun confinedTo(now: Timestamp): PartId? = prompt?.let {
        trialOf ?: (quarantine.parts.decide(it, now) as? QuarantineDecision.Confined)?.part
    }

    /**
     * Called when the connection to [server] closed within a response.
     *
     * @param isAnswered whether the server had answered the prompt, so that the prompt did not end it.
     * @return whether the server process has ended, or null if that does not matter.
     */
    fun connectionClosed(server: BackendEntry, isAnswered: Boolean): Deferred<Boolean>? =
        prompt?.takeIf { !isAnswered }?.let { quarantine.serverEnds.connectionClosed(server, it) }

    /** Whether the request may be sent to another server; waits for [hasServerEnded] unless the prompt is trusted. */
    suspend fun mayRepeat(hasServerEnded: Deferred<Boolean>?): Boolean {
        if (prompt == null || hasServerEnded == null || quarantine.parts.isTrusted(prompt, clock())) return true
        hasServerEnded.await()
        return quarantine.parts.mayRepeat(prompt, clock())
    }
}
