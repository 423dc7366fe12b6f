package azuredale.outcome

import azuredale.time.Timestamp

/**
 * A failure to report to a caller or an operator.
 *
 * @property detail further information, such as the invalid value. Must not contain secrets, as callers see it.
 * @property retryAt earliest time at which a retry is useful, or null.
 * @property execution the execution of the kind, or [Execution.UNKNOWN] if this router cannot guarantee it: an earlier
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

/** Creates an [Outcome.Refused]. */
public fun refused(kind: ErrorKind, detail: String = "", retryAt: Timestamp? = null): Outcome.Refused =
    Outcome.Refused(Failure(kind, detail, retryAt))
