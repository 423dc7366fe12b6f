package azuredale.gateway

import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Turns a failure into the headers of the answer to a caller; the adapter knows their names. */
public fun interface AnswerFormat {
    /** Headers of the answer that tells [failure] at [now]. */
    public fun headers(failure: Failure, now: Timestamp): List<Header>
}
