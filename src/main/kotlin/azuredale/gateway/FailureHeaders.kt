package azuredale.gateway

import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Encodes a failure as headers of the response to a caller. The adapter defines the header names. */
public fun interface FailureHeaders {
    /** Returns the response headers for [failure] at [now]. */
    public fun headers(failure: Failure, now: Timestamp): List<Header>
}
