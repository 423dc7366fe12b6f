package azuredale.routing

import azuredale.configuration.Requirement
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** How duplicates of a request are recognized. */
public sealed interface RequestIdentity {
    /** The request is idempotent; a duplicate is handled as a new request. */
    public data object Idempotent : RequestIdentity

    /** The request is non-idempotent but has neither a ticket nor an idempotency key, so it is refused. */
    public data object Missing : RequestIdentity

    /** An unverified ticket. Callers get tickets with router addresses. */
    public data class Ticket(val text: String) : RequestIdentity

    /** An idempotency key that the caller chose. */
    public data class Key(val text: String) : RequestIdentity
}

/**
 * Metadata of a caller's request. The body stays in the HTTP edge.
 *
 * @property hint cost that the caller expects, in the pool's cost unit.
 * @property prefix fingerprint of the prompt prefix.
 * @property isResumable whether another server can continue an interrupted response.
 */
public data class CallerRequest(
    val number: RequestNumber,
    val team: TeamId,
    val requirement: Requirement,
    val deadline: Timestamp,
    val identity: RequestIdentity = RequestIdentity.Idempotent,
    val hint: Double? = null,
    val prefix: Long? = null,
    val isResumable: Boolean = false,
)
