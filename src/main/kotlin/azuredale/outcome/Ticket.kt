package azuredale.outcome

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** Fleet-wide unique ID of a ticket: the issuing process and a sequence number. */
public data class TicketNumber(
    val issuer: RouterId,
    val issuerIncarnation: Incarnation,
    val number: Long,
)

/**
 * Permission to run one non-idempotent request once, at one router process.
 *
 * @property target router that accepts the ticket.
 * @property targetIncarnation process of [target] that accepts the ticket.
 * @property deadline time, by the target's clock, after which the target refuses the first use of the ticket.
 */
public data class Ticket(
    val target: RouterId,
    val targetIncarnation: Incarnation,
    val number: TicketNumber,
    val team: TeamId,
    val deadline: Timestamp,
)
