package azuredale.routing

import azuredale.configuration.Requirement
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** How a repeat of a request is recognised. */
public sealed interface RequestIdentity {
    /** The request is idempotent; a repeat is a new request. */
    public data object Idempotent : RequestIdentity

    /** The request is non-idempotent and carries neither ticket nor key, so it is refused. */
    public data object Missing : RequestIdentity

    /** A ticket from the address answer, as the caller sent it. */
    public data class Ticket(val text: String) : RequestIdentity

    /** The caller's own idempotency key. */
    public data class Key(val text: String) : RequestIdentity
}

/**
 * A request of a caller, without its body, which stays at the HTTP edge.
 *
 * @property hint cost expected by the caller in the pool's cost unit, or null.
 * @property prefix fingerprint of the prompt prefix, or null.
 * @property isResumable whether a broken answer can be continued at another server.
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
