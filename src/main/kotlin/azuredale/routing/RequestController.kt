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
import azuredale.outcome.IdentityDecision
import azuredale.outcome.TicketController
import azuredale.time.Timestamp
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * State machine for all requests of this router, from admission to completion.
 *
 * Invariants, for any order of events:
 * - A failure is reported as "not run" only if no attempt can have sent any byte of the request.
 * - A non-idempotent request is not attempted again once any byte may have been sent.
 * - Events of earlier attempts have no effect.
 *
 * ```
 * val effects = controller.requestReceived(request, now) // leads to slotGranted, then StartAttempt
 * ```
 */
public class RequestController(
    private val slots: SlotOperations,
    private val document: () -> AcceptedDocument?,
    private val mayGiveOutWork: (Timestamp) -> Boolean,
    private val tickets: TicketController,
    private val settings: RequestSettings = RequestSettings(),
) {
    private val log = EventLog("azuredale.routing")
    private val table = RequestTable(settings.maximumRequests)
    private val finisher = RequestFinisher(table, tickets, settings, log)
    private val attempts = RequestAttempts(table, slots, finisher, settings, log, ::slotRefused)
    private val isDraining = AtomicBoolean()
    private val dropped = AtomicLong()

    /** Number of events dropped because they belong to an earlier attempt or a finished request. */
    public val droppedEvents: Long get() = dropped.get()

    /** Number of requests in progress. */
    public val requestCount: Int get() = table.locked { table.size }

    /** Whether no request is in progress. */
    public fun isIdle(): Boolean = requestCount == 0

    /** Handles a new request: admits it, refuses it, joins it to a running duplicate or returns a stored response. */
    public fun requestReceived(request: CallerRequest, now: Timestamp): List<NodeEffect> =
        change(now) { snapshot, out ->
            val decision =
                when (val identity = request.identity) {
                    is RequestIdentity.Ticket -> tickets.useTicket(identity.text, request.team, request.number, now)
                    is RequestIdentity.Key -> tickets.useKey(request.team, identity.text, request.number, now)
                    RequestIdentity.Idempotent, RequestIdentity.Missing -> IdentityDecision.Run
                }
            when (decision) {
                IdentityDecision.Run ->
                    admit(
                        RequestRow(request, RequestPhase.Claiming, isExclusive = true),
                        snapshot,
                        out,
                        now,
                    )
                IdentityDecision.Claim -> claim(RequestRow(request, RequestPhase.Claiming), snapshot, out, now)
                is IdentityDecision.Join -> join(request, decision.original, out, now)
                is IdentityDecision.ReturnStored -> out.emit(storedResult(request.number, decision.response))
                is IdentityDecision.Refused -> finisher.refuse(request.number, decision.failure, out, now)
            }
        }

    /** Handles the result of claiming the request's idempotency key in the key-value service. */
    public fun keyClaimed(request: RequestNumber, result: ClaimResult, now: Timestamp): List<NodeEffect> =
        change(now) { snapshot, out ->
            val row = table[request]?.takeIf { it.phase == RequestPhase.Claiming }
            when {
                row == null -> drop("claim", request)
                result == ClaimResult.CLAIMED -> claimed(row.copy(isExclusive = true), snapshot, out, now)
                else -> finisher.fail(row, claimFailure(result), out, now)
            }
        }

    /** Handles the allotter's assignment of the queued attempt [slot] to [server]. */
    public fun slotGranted(slot: RequestNumber, server: ServerId, now: Timestamp): List<NodeEffect> =
        change(now) { snapshot, out ->
            val row = table.bySlot(slot)?.takeIf { it.phase is RequestPhase.Queued }
            if (row == null) {
                drop("grant", slot)
                out.defer { slots.settled(slot, 0.0, false, it) }
            } else {
                attempts.granted(row, slot, server, snapshot, out, now)
            }
        }

    /** Handles the refusal of the queued attempt [slot]. */
    public fun slotRefused(slot: RequestNumber, failure: Failure, now: Timestamp): List<NodeEffect> =
        change(now) { _, out ->
            val row = table.bySlot(slot)?.takeIf { it.phase is RequestPhase.Queued }
            if (row == null) drop("refusal", slot) else finisher.fail(row, failure, out, now)
        }

    /** Records the [cost] of a running attempt so far. */
    public fun attemptProgressed(
        request: RequestNumber,
        attempt: AttemptNumber,
        cost: Double,
        now: Timestamp,
    ): List<NodeEffect> = change(now) { _, out ->
        val row = running(request, attempt)
        if (row == null) drop("progress", request) else attempts.progressed(row, cost, out)
    }

    /** Handles the end of an attempt. */
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
     * Handles a caller's disconnect. A non-idempotent request that may have been sent continues until its deadline, so
     * that a duplicate gets its outcome. Any other request is cancelled.
     */
    public fun callerGone(request: RequestNumber, now: Timestamp): List<NodeEffect> = change(now) { _, out ->
        val row = table[request]
        when {
            row == null -> drop("caller gone", request)
            row.phase == RequestPhase.Claiming -> table.update(row.copy(isCallerGone = true))
            !row.isIdempotent && (row.mayHaveRun || row.duplicates.isNotEmpty()) ->
                table.update(
                    row.copy(isCallerGone = true),
                )
            else -> {
                attempts.stop(row, out)
                finisher.fail(row, Failure(ErrorKind.CALLER_GONE), out, now)
            }
        }
    }

    /** Starts draining: refuses new and unsent requests and lets the others complete. */
    public fun drain(now: Timestamp): List<NodeEffect> = change(now) { _, out ->
        if (!isDraining.getAndSet(true)) log.write(RoutingLogEvent.DRAIN_STARTED, "requests" to table.size)
        forEachRow { row ->
            if (!row.mayHaveRun && row.phase !is RequestPhase.Joined) {
                attempts.stop(row, out)
                finisher.fail(row, Failure(ErrorKind.DRAINING), out, now)
            }
        }
    }

    /** Fails requests whose deadline has passed and queues attempts whose delay has elapsed. */
    public fun tick(now: Timestamp): List<NodeEffect> {
        tickets.tick(now)
        return change(now) { _, out -> forEachRow { tickRow(it, out, now) } }
    }

    /** Visits each row. Reads it again first, because ending one request may remove the rows joined to it. */
    private fun forEachRow(visit: (RequestRow) -> Unit): Unit =
        table.rows.forEach { row -> table[row.request.number]?.let(visit) }

    private fun tickRow(row: RequestRow, out: DeferredActions, now: Timestamp) {
        val phase = row.phase
        if (now >= row.request.deadline) {
            attempts.stop(row, out)
            finisher.fail(row, finisher.deadlineFailure(row), out, now)
        } else if (phase is RequestPhase.Delayed && now >= phase.until) {
            attempts.queue(row, out)
        }
    }

    private fun claim(row: RequestRow, snapshot: DocumentSnapshot, out: DeferredActions, now: Timestamp) {
        val refusal = refusal(row.request, snapshot, now)
        when {
            refusal != null -> finisher.fail(row, refusal, out, now)
            !table.add(row) -> finisher.fail(row, Failure(ErrorKind.QUEUE_FULL, "requests in progress"), out, now)
            else -> out.emit(claimOf(row.request))
        }
    }

    private fun claimed(row: RequestRow, snapshot: DocumentSnapshot, out: DeferredActions, now: Timestamp) {
        val refusal = refusal(row.request, snapshot, now)
        when {
            row.isCallerGone && row.duplicates.isEmpty() -> finisher.fail(row, Failure(ErrorKind.CALLER_GONE), out, now)
            refusal != null -> finisher.fail(row, refusal, out, now)
            else -> attempts.queue(row, out)
        }
    }

    private fun admit(row: RequestRow, snapshot: DocumentSnapshot, out: DeferredActions, now: Timestamp) {
        val refusal = refusal(row.request, snapshot, now)
        when {
            refusal != null -> finisher.fail(row, refusal, out, now)
            !table.add(row) -> finisher.fail(row, Failure(ErrorKind.QUEUE_FULL, "requests in progress"), out, now)
            else -> attempts.queue(row, out)
        }
    }

    private fun join(request: CallerRequest, original: RequestNumber, out: DeferredActions, now: Timestamp) {
        val leader = table[original]
        if (leader != null && table.add(RequestRow(request, RequestPhase.Joined(original)))) {
            table.update(leader.copy(duplicates = leader.duplicates + request.number))
        } else {
            // The original may run, so the outcome of a duplicate that cannot wait for it is unknown.
            val failure = Failure(ErrorKind.QUEUE_FULL, "requests in progress", execution = Execution.UNKNOWN)
            finisher.refuse(request.number, failure, out, now)
        }
    }

    private fun refusal(request: CallerRequest, snapshot: DocumentSnapshot, now: Timestamp): Failure? =
        if (isDraining.get()) Failure(ErrorKind.DRAINING) else RequestAdmission.refusal(request, snapshot, now)

    private fun running(request: RequestNumber, attempt: AttemptNumber): RequestRow? =
        table[request]?.takeIf { it.phase is RequestPhase.Running && it.attempt == attempt }

    private fun storedResult(request: RequestNumber, response: StoredResponse): NodeEffect =
        NodeEffect.FinishRequest(request, RequestResult.Duplicate(response))

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

    private fun change(now: Timestamp, block: (DocumentSnapshot, DeferredActions) -> Unit): List<NodeEffect> {
        // Take the snapshot before locking: the document's tables have a lower lock rank than the tables changed here.
        val snapshot = DocumentSnapshot(document(), mayGiveOutWork(now))
        val out = DeferredActions()
        tickets.locked { table.locked { block(snapshot, out) } }
        return out.run(now)
    }
}
