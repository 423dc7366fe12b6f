package azuredale.outcome

import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.routing.StoredResponse
import azuredale.time.Timestamp

/** Identity of a non-idempotent request, shared by all its duplicates. */
internal sealed interface OutcomeId {
    data class ByTicket(val number: TicketNumber) : OutcomeId

    data class ByKey(
        val team: TeamId,
        val key: String,
    ) : OutcomeId
}

/** How to handle a request that carries a ticket or an idempotency key. */
public sealed interface OutcomeUse {
    /** Run the request: no other request with this identity has run or is running. */
    public data object Run : OutcomeUse

    /** Claim the key in the key-value service before running the request. */
    public data object Claim : OutcomeUse

    /** Wait for [original], a request in progress with the same identity. */
    public data class Join(val original: RequestNumber) : OutcomeUse

    /** Return [response], the stored response of an earlier request with the same identity. */
    public data class ReturnStored(val response: StoredResponse) : OutcomeUse

    /** Refuse the request with [failure]. */
    public data class Refused(val failure: Failure) : OutcomeUse
}

/** How the execution of a non-idempotent request ended. */
public sealed interface RunEnd {
    /** A complete response arrived. [response] is null if its body is too large to store. */
    public data class Completed(val response: StoredResponse?) : RunEnd

    /** No byte was sent, so the identity can be used again. */
    public data object NotRun : RunEnd

    /** The request may have run. */
    public data class Failed(val failure: Failure) : RunEnd
}

/** Record of the use of an identity at this router. */
internal data class UsedIdentity(
    val state: UseState,
    val keepUntil: Timestamp,
)

internal sealed interface UseState {
    data class Running(val request: RequestNumber) : UseState

    /** This process has claimed the key, but the request was not sent. */
    data object Claimed : UseState

    data object Ended : UseState
}
