package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.node.ClaimResult
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.Failure
import azuredale.outcome.OutcomeUse
import azuredale.outcome.TicketController
import azuredale.time.Timestamp
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * Drives every request of this router from admission to its end.
 *
 * Rules that hold whatever the order of events: a failure means not run only when no attempt may have written a byte; a
 * non-idempotent request starts no second attempt once a byte may have been written; events of older attempts change
 * nothing.
 *
 * ```
 * val effects = controller.requestReceived(request, now) // leads to slotGranted, then StartAttempt
 * ```
 */
public class RequestController(
    private val slots: SlotFunctions,
    private val document: () -> AcceptedDocument?,
    private val mayGiveOutWork: (Timestamp) -> Boolean,
    private val tickets: TicketController,
    private val settings: RequestSettings = RequestSettings(),
) {
    private val log = EventLog("azuredale.routing")
    private val table = RequestTable(settings.rows)
    private val endings = RequestEndings(table, tickets, settings, log)
    private val attempts = RequestAttempts(table, slots, endings, settings, log, ::slotRefused)
    private val isDraining = AtomicBoolean()
    private val dropped = AtomicLong()

    /** Number of events that were dropped because they belong to an older attempt or an ended request. */
    public val droppedEvents: Long get() = dropped.get()

    /** Number of requests in progress. */
    public val requestCount: Int get() = table.locked { table.size }

    /** Whether no request is in progress. */
    public fun isIdle(): Boolean = requestCount == 0

    /** Admits, joins, answers or refuses a new request. */
    public fun requestReceived(request: CallerRequest, now: Timestamp): List<NodeEffect> = change(now) { view, out ->
        val use =
            when (val identity = request.identity) {
                is RequestIdentity.Ticket -> tickets.use(identity.text, request.team, request.number, now)
                is RequestIdentity.Key -> tickets.useKey(request.team, identity.text, request.number, now)
                RequestIdentity.Idempotent, RequestIdentity.Missing -> OutcomeUse.Run
            }
        when (use) {
            OutcomeUse.Run -> admit(RequestRow(request, RequestPhase.Claiming, isOnlyRun = true), view, out, now)
            OutcomeUse.Claim -> claim(RequestRow(request, RequestPhase.Claiming), view, out, now)
            is OutcomeUse.Join -> join(request, use.original, out, now)
            is OutcomeUse.Answer -> out.emit(repeated(request.number, use.answer))
            is OutcomeUse.Refused -> endings.refuse(request.number, use.failure, out, now)
        }
    }

    /** The key-value service answered the claim of the request's key. */
    public fun keyClaimed(request: RequestNumber, result: ClaimResult, now: Timestamp): List<NodeEffect> =
        change(now) { view, out ->
            val row = table[request]?.takeIf { it.phase == RequestPhase.Claiming }
            when {
                row == null -> drop("claim", request)
                result == ClaimResult.CLAIMED -> claimed(row.copy(isOnlyRun = true), view, out, now)
                else -> endings.fail(row, claimFailure(result), out, now)
            }
        }

    /** The allotter gave the queued attempt [slot] to [server]. */
    public fun slotGranted(slot: RequestNumber, server: ServerId, now: Timestamp): List<NodeEffect> =
        change(now) { view, out ->
            val row = table.bySlot(slot)?.takeIf { it.phase is RequestPhase.Queued }
            if (row == null) {
                drop("grant", slot)
                out.call { slots.settled(slot, 0.0, false, it) }
            } else {
                attempts.granted(row, slot, server, view, out, now)
            }
        }

    /** The queued attempt [slot] gets no slot. */
    public fun slotRefused(slot: RequestNumber, failure: Failure, now: Timestamp): List<NodeEffect> =
        change(now) { _, out ->
            val row = table.bySlot(slot)?.takeIf { it.phase is RequestPhase.Queued }
            if (row == null) drop("refusal", slot) else endings.fail(row, failure, out, now)
        }

    /** The attempt delivered [cost] so far. */
    public fun attemptProgressed(
        request: RequestNumber,
        attempt: AttemptNumber,
        cost: Double,
        now: Timestamp,
    ): List<NodeEffect> = change(now) { _, out ->
        val row = running(request, attempt)
        if (row == null) drop("progress", request) else attempts.progressed(row, cost, out)
    }

    /** The attempt ended. */
    public fun attemptEnded(
        request: RequestNumber,
        attempt: AttemptNumber,
        result: AttemptResult,
        now: Timestamp,
    ): List<NodeEffect> = change(now) { _, out ->
        val row = running(request, attempt)
        if (row == null) drop("end", request) else attempts.ended(row, result, out, now)
    }

    /**
     * The caller closed its connection. A non-idempotent request that may have been sent runs on until its deadline, so
     * that a repeat with the same identity gets its outcome; everything else is cancelled.
     */
    public fun callerGone(request: RequestNumber, now: Timestamp): List<NodeEffect> = change(now) { _, out ->
        val row = table[request]
        when {
            row == null -> drop("caller gone", request)
            row.phase == RequestPhase.Claiming -> table.update(row.copy(isCallerGone = true))
            !row.isIdempotent && (row.mayHaveRun || row.joiners.isNotEmpty()) ->
                table.update(
                    row.copy(isCallerGone = true),
                )
            else -> {
                attempts.stop(row, out)
                endings.fail(row, Failure(ErrorKind.CALLER_GONE), out, now)
            }
        }
    }

    /** Refuses new requests and those that no attempt was sent for; the others complete. */
    public fun drain(now: Timestamp): List<NodeEffect> = change(now) { _, out ->
        if (!isDraining.getAndSet(true)) log.write(RoutingLogEvent.DRAIN_STARTED, "requests" to table.size)
        forEachRow { row ->
            if (!row.mayHaveRun && row.phase !is RequestPhase.Joined) {
                attempts.stop(row, out)
                endings.fail(row, Failure(ErrorKind.DRAINING), out, now)
            }
        }
    }

    /** Ends requests whose deadline has passed and queues attempts whose pause is over. */
    public fun tick(now: Timestamp): List<NodeEffect> {
        tickets.tick(now)
        return change(now) { _, out -> forEachRow { tickRow(it, out, now) } }
    }

    /** Visits each row in its present state; the end of one request may remove the rows of those that wait for it. */
    private fun forEachRow(visit: (RequestRow) -> Unit): Unit =
        table.rows.forEach { row -> table[row.request.number]?.let(visit) }

    private fun tickRow(row: RequestRow, out: FollowUps, now: Timestamp) {
        val phase = row.phase
        if (now >= row.request.deadline) {
            attempts.stop(row, out)
            endings.fail(row, endings.deadlineFailure(row), out, now)
        } else if (phase is RequestPhase.Delayed && now >= phase.until) {
            attempts.queue(row, out)
        }
    }

    private fun claim(row: RequestRow, view: DocumentView, out: FollowUps, now: Timestamp) {
        val refusal = refusal(row.request, view, now)
        when {
            refusal != null -> endings.fail(row, refusal, out, now)
            !table.add(row) -> endings.fail(row, Failure(ErrorKind.QUEUE_FULL, "requests in progress"), out, now)
            else -> out.emit(claimOf(row.request))
        }
    }

    private fun claimed(row: RequestRow, view: DocumentView, out: FollowUps, now: Timestamp) {
        val refusal = refusal(row.request, view, now)
        when {
            row.isCallerGone && row.joiners.isEmpty() -> endings.fail(row, Failure(ErrorKind.CALLER_GONE), out, now)
            refusal != null -> endings.fail(row, refusal, out, now)
            else -> attempts.queue(row, out)
        }
    }

    private fun admit(row: RequestRow, view: DocumentView, out: FollowUps, now: Timestamp) {
        val refusal = refusal(row.request, view, now)
        when {
            refusal != null -> endings.fail(row, refusal, out, now)
            !table.add(row) -> endings.fail(row, Failure(ErrorKind.QUEUE_FULL, "requests in progress"), out, now)
            else -> attempts.queue(row, out)
        }
    }

    private fun join(request: CallerRequest, original: RequestNumber, out: FollowUps, now: Timestamp) {
        val leader = table[original]
        if (leader != null && table.add(RequestRow(request, RequestPhase.Joined(original)))) {
            table.update(leader.copy(joiners = leader.joiners + request.number))
        } else {
            // The original may run, so a repeat without room to wait learns nothing about the outcome.
            val failure = Failure(ErrorKind.QUEUE_FULL, "requests in progress", execution = Execution.UNKNOWN)
            endings.refuse(request.number, failure, out, now)
        }
    }

    private fun refusal(request: CallerRequest, view: DocumentView, now: Timestamp): Failure? =
        if (isDraining.get()) Failure(ErrorKind.DRAINING) else RequestAdmission.refusal(request, view, now)

    private fun running(request: RequestNumber, attempt: AttemptNumber): RequestRow? =
        table[request]?.takeIf { it.phase is RequestPhase.Running && it.attempt == attempt }

    private fun repeated(request: RequestNumber, answer: KeptAnswer): NodeEffect =
        NodeEffect.FinishRequest(request, RequestResult.Repeated(answer))

    private fun claimFailure(result: ClaimResult): Failure = when (result) {
        ClaimResult.BUDGET_EXHAUSTED -> Failure(ErrorKind.CLAIM_BUDGET_EXHAUSTED)
        ClaimResult.HELD -> Failure(ErrorKind.CLAIMED_ELSEWHERE)
        ClaimResult.CLAIMED, ClaimResult.UNAVAILABLE, ClaimResult.UNKNOWN -> Failure(ErrorKind.CLAIM_UNAVAILABLE)
    }

    private fun claimOf(request: CallerRequest): NodeEffect {
        val key = (request.identity as? RequestIdentity.Key)?.text.orEmpty()
        return NodeEffect.ClaimKey(request.number, request.team, key, request.deadline)
    }

    private fun drop(event: String, number: RequestNumber) {
        dropped.incrementAndGet()
        log.write(RoutingLogEvent.STALE_EVENT_DROPPED, "event" to event, "number" to number)
    }

    private fun change(now: Timestamp, block: (DocumentView, FollowUps) -> Unit): List<NodeEffect> {
        // The document's tables have a lower lock rank than the tables changed here.
        val view = DocumentView(document(), mayGiveOutWork(now))
        val out = FollowUps()
        tickets.locked { table.locked { block(view, out) } }
        return out.run(now)
    }
}
