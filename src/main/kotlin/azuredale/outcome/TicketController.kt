package azuredale.outcome

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.Incarnation
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.logging.EventLog
import azuredale.time.Timestamp
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits of the tables of used identities and stored outcomes.
 *
 * @property ticketSeconds time from the issue of a ticket to its deadline.
 * @property keepSeconds time for which an outcome is stored after the ticket's deadline or, for a key, after its first
 * use, and in any case after the end of the request.
 * @property usedRows maximum number of used identities.
 * @property keptRows maximum number of stored outcomes.
 * @property answerBytes maximum size of a stored response body.
 * @property totalBytes maximum total size of all stored response bodies. The oldest outcomes are evicted first.
 */
public data class OutcomeBounds(
    val ticketSeconds: Long = 60,
    val keepSeconds: Long = 120,
    val usedRows: Int = 65_536,
    val keptRows: Int = 8_192,
    val answerBytes: Int = 65_536,
    val totalBytes: Long = 16_777_216,
)

/**
 * Ensures that this process runs at most one request per ticket or claimed idempotency key.
 *
 * Tickets need no coordination between routers: a ticket names the only process that accepts it. That process runs the
 * request only if it has no record of an earlier use and the ticket's deadline has not passed, and it keeps the record
 * until after the deadline.
 */
public class TicketController(
    private val self: RouterId,
    private val incarnation: Incarnation,
    private val signer: TicketSigner,
    private val bounds: OutcomeBounds = OutcomeBounds(),
) {
    private val log = EventLog("azuredale.outcome")
    private val used = Table<OutcomeId, UsedIdentity>("used tickets", OWNER, bounds.usedRows, LockRank.USED_TICKETS)
    private val outcomes = OutcomeStore(bounds, log)
    private val issued = AtomicLong()

    /** Runs [block] while holding the tables' locks, so that tables of higher lock rank can change with them. */
    internal fun <R> locked(block: () -> R): R = used.locked { outcomes.locked(block) }

    /** Returns a new signed ticket for [team] that only the process [targetIncarnation] of [target] accepts. */
    public fun issue(target: RouterId, targetIncarnation: Incarnation, team: TeamId, now: Timestamp): String {
        val number = TicketNumber(self, incarnation, issued.incrementAndGet())
        return signer.sign(Ticket(target, targetIncarnation, number, team, now.plusSeconds(bounds.ticketSeconds)))
    }

    /** Decides how to handle [request], which carries the ticket [text]. */
    public fun use(text: String, team: TeamId, request: RequestNumber, now: Timestamp): OutcomeUse {
        val ticket = signer.verify(text)
        if (ticket == null || ticket.team != team) return refuse(ErrorKind.TICKET_INVALID)
        if (ticket.target != self || ticket.targetIncarnation != incarnation) return refuse(ErrorKind.TICKET_FOREIGN)
        val id = OutcomeId.ByTicket(ticket.number)
        return locked {
            val earlier = used[id]
            when {
                earlier != null -> repeat(id, earlier, request)
                now > ticket.deadline -> refuse(ErrorKind.TICKET_EXPIRED)
                else -> begin(id, request, ticket.deadline.plusSeconds(bounds.keepSeconds), OutcomeUse.Run)
            }
        }
    }

    /** Decides how to handle [request], which carries the idempotency key [key]. */
    public fun useKey(team: TeamId, key: String, request: RequestNumber, now: Timestamp): OutcomeUse {
        val id = OutcomeId.ByKey(team, key)
        return locked {
            val earlier = used[id]
            if (earlier != null) {
                repeat(id, earlier, request)
            } else {
                begin(id, request, now.plusSeconds(bounds.keepSeconds), OutcomeUse.Claim)
            }
        }
    }

    /** Records how the request with the ticket [text] ended. */
    public fun ticketEnded(text: String, end: RunEnd, now: Timestamp) {
        val ticket = signer.verify(text) ?: return
        locked { end(OutcomeId.ByTicket(ticket.number), end, isClaimed = false, now) }
    }

    /** Records how the request with [key] ended. [isClaimed] tells whether this process has claimed the key. */
    public fun keyEnded(team: TeamId, key: String, isClaimed: Boolean, end: RunEnd, now: Timestamp) {
        locked { end(OutcomeId.ByKey(team, key), end, isClaimed, now) }
    }

    /** Removes expired records, except those of requests in progress. */
    public fun tick(now: Timestamp) {
        locked {
            used.removeWhere { id, row ->
                val isOver = row.state !is UseState.Running && now > row.keepUntil
                if (isOver) outcomes.remove(id)
                isOver
            }
        }
    }

    /** Number of recorded identities. */
    public val usedCount: Int get() = used.locked { used.size }

    private fun begin(id: OutcomeId, request: RequestNumber, keepUntil: Timestamp, use: OutcomeUse): OutcomeUse {
        if (used.put(id, UsedIdentity(UseState.Running(request), keepUntil))) return use
        log.write(OutcomeLogEvent.USED_TICKETS_FULL, "rows" to bounds.usedRows)
        return OutcomeUse.Refused(Failure(ErrorKind.OVERLOADED, "used tickets"))
    }

    private fun repeat(id: OutcomeId, earlier: UsedIdentity, request: RequestNumber): OutcomeUse =
        when (val state = earlier.state) {
            is UseState.Running -> OutcomeUse.Join(state.request)
            UseState.Claimed -> {
                used.put(id, earlier.copy(state = UseState.Running(request)))
                OutcomeUse.Run
            }
            UseState.Ended -> outcomes.find(id) ?: refuse(ErrorKind.OUTCOME_DROPPED)
        }

    private fun end(id: OutcomeId, end: RunEnd, isClaimed: Boolean, now: Timestamp) {
        val row = used[id] ?: return
        if (row.state !is UseState.Running) return
        val keepUntil = maxOf(row.keepUntil, now.plusSeconds(bounds.keepSeconds))
        when {
            end != RunEnd.NotRun -> {
                used.put(id, UsedIdentity(UseState.Ended, keepUntil))
                outcomes.store(id, end)
            }
            isClaimed -> used.put(id, UsedIdentity(UseState.Claimed, keepUntil))
            else -> used.remove(id)
        }
    }

    private fun refuse(kind: ErrorKind): OutcomeUse {
        log.write(OutcomeLogEvent.TICKET_REFUSED, "kind" to kind)
        return OutcomeUse.Refused(Failure(kind))
    }

    private companion object {
        const val OWNER = "TicketController"
    }
}
