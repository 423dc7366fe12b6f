package azuredale.outcome

import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.routing.KeptAnswer
import azuredale.time.Timestamp

/** Identity of a non-idempotent request, common to all its repeats. */
internal sealed interface OutcomeId {
    data class ByTicket(val number: TicketNumber) : OutcomeId

    data class ByKey(
        val team: TeamId,
        val key: String,
    ) : OutcomeId
}

/** What a router does with a request that carries a ticket or an idempotency key. */
public sealed interface OutcomeUse {
    /** This is the only use so far that may run. */
    public data object Run : OutcomeUse

    /** The key must be claimed in the key-value service before the request may run. */
    public data object Claim : OutcomeUse

    /** The request [original] with the same identity is in progress; wait for its end. */
    public data class Join(val original: RequestNumber) : OutcomeUse

    /** The request ended earlier with [answer]. */
    public data class Answer(val answer: KeptAnswer) : OutcomeUse

    /** The request is not run now. */
    public data class Refused(val failure: Failure) : OutcomeUse
}

/** How the only run of a non-idempotent request ended. */
public sealed interface RunEnd {
    /** A whole answer arrived; null when its body is larger than the bound for kept answers. */
    public data class Answered(val answer: KeptAnswer?) : RunEnd

    /** No byte was written, so the identity may be used again. */
    public data object NotRun : RunEnd

    /** The request may have run. */
    public data class Failed(val failure: Failure) : RunEnd
}

/** Use of one identity at this router. */
internal data class UsedIdentity(
    val state: UseState,
    val keepUntil: Timestamp,
)

internal sealed interface UseState {
    data class Running(val request: RequestNumber) : UseState

    /** The key is claimed by this process and nothing was written. */
    data object Claimed : UseState

    data object Ended : UseState
}
