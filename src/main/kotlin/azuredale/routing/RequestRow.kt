package azuredale.routing

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import azuredale.time.Timestamp

/** Phase in the life cycle of a request. */
internal sealed interface RequestPhase {
    /** The idempotency key is being claimed. */
    data object Claiming : RequestPhase

    /** An attempt is queued as [slot]. */
    data class Queued(val slot: RequestNumber) : RequestPhase

    /** The next attempt will be queued at [until]. */
    data class Delayed(val until: Timestamp) : RequestPhase

    /** The current attempt is running in [slot] and has cost [cost] so far. */
    data class Running(
        val slot: RequestNumber,
        val cost: Double = 0.0,
    ) : RequestPhase

    /** The request duplicates [original] and waits for its result. */
    data class Joined(val original: RequestNumber) : RequestPhase
}

/**
 * State of one request in progress.
 *
 * @property attempt number of the latest started attempt; 0 if none has started.
 * @property hasWritten whether any byte may have been sent by an attempt that has ended.
 * @property resumeAt number of response units delivered to the caller so far.
 * @property ineligibleGrants number of grants so far of servers that the document excludes.
 * @property isExclusive whether no other router can run a request with the same identity.
 * @property isCallerGone whether the caller has disconnected.
 * @property duplicates duplicates that wait for the result of this request.
 */
internal data class RequestRow(
    val request: CallerRequest,
    val phase: RequestPhase,
    val attempt: AttemptNumber = AttemptNumber(0),
    val hasWritten: Boolean = false,
    val resumeAt: Long = 0,
    val ineligibleGrants: Int = 0,
    val isExclusive: Boolean = false,
    val isCallerGone: Boolean = false,
    val duplicates: List<RequestNumber> = emptyList(),
) {
    val isIdempotent: Boolean get() = request.identity == RequestIdentity.Idempotent

    /** Whether a retry can continue the response without duplicating or losing text. */
    val canContinue: Boolean get() = resumeAt == 0L || request.isResumable

    /** Whether any byte of the request may have reached a backend server. */
    val mayHaveRun: Boolean get() = hasWritten || phase is RequestPhase.Running
}
