package azuredale.outcome

import azuredale.time.Timestamp

/**
 * A failure of one of the closed list's kinds.
 *
 * @property detail names the value at fault; shown to the caller, never holds a secret.
 * @property retryAt earliest time at which a repeat is useful, or null.
 * @property execution the kind's execution, or [Execution.UNKNOWN] when this router cannot vouch for it: an earlier
 * attempt may have been sent, or another router may have run a request with the same identity.
 */
public data class Failure(
    val kind: ErrorKind,
    val detail: String = "",
    val retryAt: Timestamp? = null,
    val execution: Execution = kind.execution,
) {
    init {
        require(execution == kind.execution || execution == Execution.UNKNOWN) { "$kind cannot mean $execution" }
    }
}

/** Result of an operation that can fail with a [Failure]. */
public sealed interface Outcome<out T> {
    /** The operation succeeded with [value]. */
    public data class Success<out T>(val value: T) : Outcome<T>

    /** The operation failed. */
    public data class Refused(val failure: Failure) : Outcome<Nothing>
}

/** Shorthand for a refused outcome. */
public fun refused(kind: ErrorKind, detail: String = "", retryAt: Timestamp? = null): Outcome.Refused =
    Outcome.Refused(Failure(kind, detail, retryAt))
