package azuredale.outcome

/** Whether a request without a complete response was executed, as far as known. */
public enum class Execution {
    /** No byte of the request was sent to any backend server. */
    NOT_RUN,

    /** A backend server ran the request. */
    RUN,

    /** The request may have run. */
    UNKNOWN,
}

/**
 * All kinds of errors that callers and operators can receive.
 *
 * @property status HTTP status code.
 * @property execution whether the request was executed.
 * @property isRetryable whether the same request can succeed later.
 * @property text error message for the caller.
 */
public enum class ErrorKind(
    public val status: Int,
    public val execution: Execution,
    public val isRetryable: Boolean,
    public val text: String,
) {
    INVALID_REQUEST(400, Execution.NOT_RUN, false, "the request is malformed"),
    UNAUTHORIZED(401, Execution.NOT_RUN, false, "the operator token is missing or wrong"),
    UNKNOWN_TEAM(403, Execution.NOT_RUN, false, "the team does not exist in the document"),
    POOL_NOT_ALLOWED(403, Execution.NOT_RUN, false, "the team may not use this pool"),
    UNKNOWN_POOL(404, Execution.NOT_RUN, false, "the pool does not exist in the document"),
    UNKNOWN_MODEL(404, Execution.NOT_RUN, false, "no pool serves this model"),
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN, false, "the request is larger than the limit"),
    IDENTITY_REQUIRED(428, Execution.NOT_RUN, false, "a non-idempotent request needs a ticket or an idempotency key"),
    TICKET_INVALID(400, Execution.NOT_RUN, false, "the ticket is malformed or its signature is wrong"),
    UNKNOWN_ROUTE(404, Execution.NOT_RUN, false, "no route matches the host and path"),
    UNKNOWN_KEY(401, Execution.NOT_RUN, false, "the key is missing or belongs to no team"),
    QUEUE_FULL(429, Execution.NOT_RUN, true, "the team's queue at this router is full"),
    CLAIM_BUDGET_EXHAUSTED(429, Execution.UNKNOWN, true, "too many idempotency keys are claimed at the moment"),
    OVERLOADED(503, Execution.NOT_RUN, true, "the router has no room for another request"),
    NOT_READY(503, Execution.NOT_RUN, true, "the router has no document yet"),
    STALE_DOCUMENT(503, Execution.NOT_RUN, true, "the router cannot confirm its document"),
    STALE_DIRECTORY(503, Execution.NOT_RUN, true, "the router cannot confirm which backend servers may be used"),
    DRAINING(503, Execution.NOT_RUN, true, "the router is shutting down"),
    NO_ELIGIBLE_SERVER(503, Execution.NOT_RUN, true, "no backend server may take this request"),
    CLAIM_UNAVAILABLE(503, Execution.UNKNOWN, true, "the idempotency key cannot be claimed at the moment"),
    SHARE_EXCEEDED(429, Execution.NOT_RUN, true, "the team has used its share while others wait"),
    PREDICTED_LATE(503, Execution.NOT_RUN, true, "the request cannot be served in time at the moment"),
    SERVER_REFUSED(503, Execution.NOT_RUN, true, "the backend server refused the request without running it"),
    PROMPT_QUARANTINED(503, Execution.NOT_RUN, true, "a part of the prompt has crashed several backend servers"),
    STREAM_ORIGIN_UNKNOWN(503, Execution.NOT_RUN, true, "it is not known where the stream can go on"),
    CONNECT_FAILED(503, Execution.NOT_RUN, true, "no connection to a backend server could be opened"),
    DEADLINE_BEFORE_START(503, Execution.NOT_RUN, true, "the deadline passed while the request was waiting"),
    DEADLINE_DURING_RUN(504, Execution.UNKNOWN, false, "the deadline passed while the request was running"),
    BACKEND_FAILED(502, Execution.UNKNOWN, false, "the backend server failed after the request was sent"),
    STREAM_BROKEN(502, Execution.UNKNOWN, false, "the answer broke off and could not be resumed"),
    WRONG_ANSWER(502, Execution.UNKNOWN, false, "the backend server answered another request"),
    ROUTER_STOPPED(502, Execution.UNKNOWN, false, "the router stopped while the request was running"),
    TICKET_FOREIGN(409, Execution.UNKNOWN, false, "the ticket belongs to another router or an earlier process"),
    TICKET_EXPIRED(409, Execution.UNKNOWN, false, "the ticket's deadline has passed"),
    CLAIMED_ELSEWHERE(409, Execution.UNKNOWN, false, "the idempotency key was claimed by another request"),
    OUTCOME_DROPPED(409, Execution.UNKNOWN, false, "the outcome of this request is no longer kept"),
    CALLER_GONE(499, Execution.UNKNOWN, false, "the caller closed its connection"),
    DOCUMENT_INVALID(422, Execution.NOT_RUN, false, "the document has faults"),
    DOCUMENT_RACED(409, Execution.NOT_RUN, false, "another submission was accepted first"),
    DOCUMENT_MINORITY(503, Execution.NOT_RUN, true, "the router is not connected with most of the fleet"),
    PLATFORM_UNAVAILABLE(503, Execution.NOT_RUN, true, "the key-value service does not answer"),
    SUBMISSION_UNKNOWN(504, Execution.UNKNOWN, false, "it is not known whether the submission was accepted"),
}
