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
public sealed interface IdentityDecision {
    /** Run the request: no other request with this identity has run or is running. */
    public data object Run : IdentityDecision

    /** Claim the key in the key-value service before running the request. */
    public data object Claim : IdentityDecision

    /** Wait for [original], a request in progress with the same identity. */
    public data class Join(val original: RequestNumber) : IdentityDecision

    /** Return [response], the stored response of an earlier request with the same identity. */
    public data class ReturnStored(val response: StoredResponse) : IdentityDecision

    /** Refuse the request with [failure]. */
    public data class Refused(val failure: Failure) : IdentityDecision
}

/** How the execution of a non-idempotent request ended. */
public sealed interface ExecutionResult {
    /** A complete response arrived. [response] is null if its body is too large to store. */
    public data class Completed(val response: StoredResponse?) : ExecutionResult

    /** No byte was sent, so the identity can be used again. */
    public data object NotRun : ExecutionResult

    /** The request may have run. */
    public data class Failed(val failure: Failure) : ExecutionResult
}

/** Record of the use of an identity at this router. */
internal data class IdentityRecord(
    val state: IdentityState,
    val keepUntil: Timestamp,
)

internal sealed interface IdentityState {
    data class Running(val request: RequestNumber) : IdentityState

    /** This process has claimed the key, but the request was not sent. */
    data object Claimed : IdentityState

    data object Ended : IdentityState
}
