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
 * @property ticketLifetimeSeconds time from the issue of a ticket to its deadline.
 * @property retentionSeconds time for which an outcome is stored after the ticket's deadline or, for a key, after its
 * first use, and in any case after the end of the request.
 * @property maximumIdentities maximum number of used identities.
 * @property maximumOutcomes maximum number of stored outcomes.
 * @property maximumBodyBytes maximum size of a stored response body.
 * @property maximumTotalBytes maximum total size of all stored response bodies. The oldest outcomes are evicted first.
 */
public data class OutcomeLimits(
    val ticketLifetimeSeconds: Long = 60,
    val retentionSeconds: Long = 120,
    val maximumIdentities: Int = 65_536,
    val maximumOutcomes: Int = 8_192,
    val maximumBodyBytes: Int = 65_536,
    val maximumTotalBytes: Long = 16_777_216,
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
    private val limits: OutcomeLimits = OutcomeLimits(),
) {
    private val log = EventLog("azuredale.outcome")
    private val used =
        Table<OutcomeId, IdentityRecord>("used tickets", OWNER, limits.maximumIdentities, LockRank.USED_TICKETS)
    private val outcomes = OutcomeStore(limits, log)
    private val issued = AtomicLong()

    /** Runs [block] while holding the tables' locks, so that tables of higher lock rank can change with them. */
    internal fun <R> locked(block: () -> R): R = used.locked { outcomes.locked(block) }

    /** Returns a new signed ticket for [team] that only the process [targetIncarnation] of [target] accepts. */
    public fun issue(target: RouterId, targetIncarnation: Incarnation, team: TeamId, now: Timestamp): String {
        val number = TicketNumber(self, incarnation, issued.incrementAndGet())
        return signer.sign(
            Ticket(target, targetIncarnation, number, team, now.plusSeconds(limits.ticketLifetimeSeconds)),
        )
    }

    /** Decides how to handle [request], which carries the ticket [text]. */
    public fun useTicket(text: String, team: TeamId, request: RequestNumber, now: Timestamp): IdentityDecision {
        val ticket = signer.verify(text)
        if (ticket == null || ticket.team != team) return refuse(ErrorKind.TICKET_INVALID)
        if (ticket.target != self || ticket.targetIncarnation != incarnation) return refuse(ErrorKind.TICKET_FOREIGN)
        val id = OutcomeId.ByTicket(ticket.number)
        return locked {
            val earlier = used[id]
            when {
                earlier != null -> decideDuplicate(id, earlier, request)
                now > ticket.deadline -> refuse(ErrorKind.TICKET_EXPIRED)
                else ->
                    recordUse(
                        id,
                        request,
                        ticket.deadline.plusSeconds(limits.retentionSeconds),
                        IdentityDecision.Run,
                    )
            }
        }
    }

    /** Decides how to handle [request], which carries the idempotency key [key]. */
    public fun useKey(team: TeamId, key: String, request: RequestNumber, now: Timestamp): IdentityDecision {
        val id = OutcomeId.ByKey(team, key)
        return locked {
            val earlier = used[id]
            if (earlier != null) {
                decideDuplicate(id, earlier, request)
            } else {
                recordUse(id, request, now.plusSeconds(limits.retentionSeconds), IdentityDecision.Claim)
            }
        }
    }

    /** Records how the request with the ticket [text] ended. */
    public fun ticketEnded(text: String, end: ExecutionResult, now: Timestamp) {
        val ticket = signer.verify(text) ?: return
        locked { end(OutcomeId.ByTicket(ticket.number), end, isClaimed = false, now) }
    }

    /** Records how the request with [key] ended. [isClaimed] tells whether this process has claimed the key. */
    public fun keyEnded(team: TeamId, key: String, isClaimed: Boolean, end: ExecutionResult, now: Timestamp) {
        locked { end(OutcomeId.ByKey(team, key), end, isClaimed, now) }
    }

    /** Removes expired records, except those of requests in progress. */
    public fun tick(now: Timestamp) {
        locked {
            used.removeWhere { id, row ->
                val isOver = row.state !is IdentityState.Running && now > row.keepUntil
                if (isOver) outcomes.remove(id)
                isOver
            }
        }
    }

    /** Number of recorded identities. */
    public val usedCount: Int get() = used.locked { used.size }

    private fun recordUse(
        id: OutcomeId,
        request: RequestNumber,
        keepUntil: Timestamp,
        decision: IdentityDecision,
    ): IdentityDecision {
        if (used.put(id, IdentityRecord(IdentityState.Running(request), keepUntil))) return decision
        log.write(OutcomeLogEvent.USED_TICKETS_FULL, "rows" to limits.maximumIdentities)
        return IdentityDecision.Refused(Failure(ErrorKind.OVERLOADED, "used tickets"))
    }

    private fun decideDuplicate(id: OutcomeId, earlier: IdentityRecord, request: RequestNumber): IdentityDecision =
        when (val state = earlier.state) {
            is IdentityState.Running -> IdentityDecision.Join(state.request)
            IdentityState.Claimed -> {
                used.put(id, earlier.copy(state = IdentityState.Running(request)))
                IdentityDecision.Run
            }
            IdentityState.Ended -> outcomes.find(id) ?: refuse(ErrorKind.OUTCOME_DROPPED)
        }

    private fun end(id: OutcomeId, end: ExecutionResult, isClaimed: Boolean, now: Timestamp) {
        val row = used[id] ?: return
        if (row.state !is IdentityState.Running) return
        val keepUntil = maxOf(row.keepUntil, now.plusSeconds(limits.retentionSeconds))
        when {
            end != ExecutionResult.NotRun -> {
                used.put(id, IdentityRecord(IdentityState.Ended, keepUntil))
                outcomes.store(id, end)
            }
            isClaimed -> used.put(id, IdentityRecord(IdentityState.Claimed, keepUntil))
            else -> used.remove(id)
        }
    }

    private fun refuse(kind: ErrorKind): IdentityDecision {
        log.write(OutcomeLogEvent.TICKET_REFUSED, "kind" to kind)
        return IdentityDecision.Refused(Failure(kind))
    }

    private companion object {
        const val OWNER = "TicketController"
    }
}
