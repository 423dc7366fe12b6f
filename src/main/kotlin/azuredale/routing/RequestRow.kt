package azuredale.routing

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import azuredale.time.Timestamp

/** Where a request stands between its arrival and its end. */
internal sealed interface RequestPhase {
    /** Its idempotency key is being claimed. */
    data object Claiming : RequestPhase

    /** An attempt waits for [slot]. */
    data class Queued(val slot: RequestNumber) : RequestPhase

    /** The next attempt is queued at [until]. */
    data class Delayed(val until: Timestamp) : RequestPhase

    /** The current attempt runs in [slot]; [cost] is its cost so far. */
    data class Running(
        val slot: RequestNumber,
        val cost: Double = 0.0,
    ) : RequestPhase

    /** Waits for the end of [original], which has the same identity. */
    data class Joined(val original: RequestNumber) : RequestPhase
}

/**
 * One request in progress.
 *
 * @property attempt number of the latest attempt that was started.
 * @property hasWritten whether an ended attempt may have written a byte; a running attempt counts in addition.
 * @property resumeAt units of the answer that the caller has.
 * @property isOnlyRun whether no other router can run a request with the same identity.
 * @property isCallerGone whether nobody waits for the answer any more.
 */
internal data class RequestRow(
    val request: CallerRequest,
    val phase: RequestPhase,
    val attempt: AttemptNumber = AttemptNumber(0),
    val hasWritten: Boolean = false,
    val resumeAt: Long = 0,
    val ineligibleGrants: Int = 0,
    val isOnlyRun: Boolean = false,
    val isCallerGone: Boolean = false,
    val joiners: List<RequestNumber> = emptyList(),
) {
    val isIdempotent: Boolean get() = request.identity == RequestIdentity.Idempotent

    /** Whether a repeat neither repeats nor loses text that the caller has. */
    val canContinue: Boolean get() = resumeAt == 0L || request.isResumable

    /** Whether a byte of the request may have reached a backend server. */
    val mayHaveRun: Boolean get() = hasWritten || phase is RequestPhase.Running
}
