package azuredale.outcome

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** Name of a ticket that is unique in the fleet: the issuing process and its running number. */
public data class TicketNumber(
    val issuer: RouterId,
    val issuerIncarnation: Incarnation,
    val number: Long,
)

/**
 * Permission to run one non-idempotent request once, at one router process.
 *
 * @property target only this router runs the request.
 * @property targetIncarnation only this process of [target] runs the request.
 * @property deadline by the target's clock; an unused ticket never runs after it.
 */
public data class Ticket(
    val target: RouterId,
    val targetIncarnation: Incarnation,
    val number: TicketNumber,
    val team: TeamId,
    val deadline: Timestamp,
)
