package azuredale.outcome

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of tickets, claims and stored outcomes. */
internal enum class OutcomeLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    TICKET_REFUSED(1700, Level.INFO, "ticket refused"),
    USED_TICKETS_FULL(1701, Level.WARN, "table of used tickets is full"),
    OUTCOME_NOT_KEPT(1702, Level.INFO, "outcome too large to store, or evicted"),
    CLAIM_UNKNOWN(1703, Level.WARN, "result of claiming an idempotency key is unknown"),
}
