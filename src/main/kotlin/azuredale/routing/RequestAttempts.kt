package azuredale.routing

import azuredale.configuration.BackendServer
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.sharing.QueuedRequest
import azuredale.time.Timestamp

/** Queues, starts, ends and retries attempts of requests. Callers must hold the lock of the request table. */
internal class RequestAttempts(
    private val table: RequestTable,
    private val slots: SlotOperations,
    private val finisher: RequestFinisher,
    private val settings: RequestSettings,
    private val log: EventLog,
    private val slotRefused: (RequestNumber, Failure, Timestamp) -> List<NodeEffect>,
) {
    private val budget = RetryBudget(settings.retryShare, settings.retryBurst)

    /** Queues the next attempt of [row] under a new slot number. */
    fun queue(row: RequestRow, out: DeferredActions) {
        val slot = table.newSlot()
        table.update(row.copy(phase = RequestPhase.Queued(slot)))
        val request = row.request
        val queued =
            QueuedRequest(slot, request.team, request.requirement, request.deadline, request.hint, request.prefix)
        out.defer { now ->
            when (val outcome = slots.submit(queued, now)) {
                is Outcome.Success -> outcome.value
                is Outcome.Refused -> slotRefused(slot, outcome.failure, now)
            }
        }
    }

    /** Starts an attempt at [server] if the document still allows it; otherwise returns the slot. */
    fun granted(
        row: RequestRow,
        slot: RequestNumber,
        server: ServerId,
        snapshot: DocumentSnapshot,
        out: DeferredActions,
        now: Timestamp,
    ) {
        val document = snapshot.accepted?.document
        val entry = document?.servers?.get(server)?.takeIf { document.allows(server, row.request.requirement) }
        when {
            now >= row.request.deadline -> returnSlot(slot, row, finisher.deadlineFailure(row), out, now)
            !snapshot.mayGiveOutWork -> returnSlot(slot, row, Failure(ErrorKind.STALE_DOCUMENT), out, now)
            entry == null -> ineligible(row, slot, server, out, now)
            else -> start(row, slot, entry, out)
        }
    }

    /** Records the cost of a running attempt. */
    fun progressed(row: RequestRow, cost: Double, out: DeferredActions) {
        val phase = row.phase as? RequestPhase.Running ?: return
        table.update(row.copy(phase = phase.copy(cost = cost)))
        out.defer { slots.progressed(phase.slot, cost, it) }
    }

    /** Handles the end of the running attempt: completes, retries, resumes or fails the request. */
    fun ended(row: RequestRow, result: AttemptResult, out: DeferredActions, now: Timestamp) {
        val phase = row.phase as? RequestPhase.Running ?: return
        out.defer { slots.settled(phase.slot, result.cost, result !is AttemptResult.Completed, it) }
        // The attempt has ended, so only `hasWritten` still tells whether part of the request may have been sent.
        val idle = row.copy(phase = RequestPhase.Delayed(now))
        when (result) {
            is AttemptResult.Completed -> finisher.complete(row, result.response, out, now)
            is AttemptResult.NotConnected -> repeat(idle, Failure(ErrorKind.CONNECT_FAILED, result.detail), out, now)
            is AttemptResult.WrongAnswer ->
                repeat(idle.copy(hasWritten = true), Failure(ErrorKind.WRONG_ANSWER, result.detail), out, now)
            is AttemptResult.Broken -> {
                val kind = if (result.delivered > 0) ErrorKind.STREAM_BROKEN else ErrorKind.BACKEND_FAILED
                val broken = idle.copy(hasWritten = true, resumeAt = maxOf(row.resumeAt, result.delivered))
                repeat(broken, Failure(kind, result.detail), out, now)
            }
        }
    }

    /** Removes the request from the queue or cancels its running attempt. */
    fun stop(row: RequestRow, out: DeferredActions) {
        when (val phase = row.phase) {
            is RequestPhase.Queued -> out.defer { slots.withdraw(phase.slot, it) }
            is RequestPhase.Running -> {
                out.emit(NodeEffect.CancelAttempt(row.request.number, row.attempt))
                out.defer { slots.settled(phase.slot, phase.cost, false, it) }
            }
            else -> Unit
        }
    }

    private fun start(row: RequestRow, slot: RequestNumber, server: BackendServer, out: DeferredActions) {
        if (row.attempt.value == 0) budget.recordFirstAttempt()
        val attempt = row.attempt.next()
        table.update(row.copy(phase = RequestPhase.Running(slot), attempt = attempt))
        out.emit(NodeEffect.StartAttempt(row.request.number, attempt, server.id, server.address, row.resumeAt))
    }

    private fun repeat(row: RequestRow, failure: Failure, out: DeferredActions, now: Timestamp) {
        log.write(
            RoutingLogEvent.ATTEMPT_FAILED,
            "request" to row.request.number,
            "attempt" to row.attempt,
            "kind" to failure.kind,
            "detail" to failure.detail,
        )
        val isSafe = if (row.hasWritten) row.isIdempotent && row.canContinue else true
        val mayRepeat = isSafe && row.attempt.value < settings.maximumAttempts
        when {
            now >= row.request.deadline -> finisher.fail(row, finisher.deadlineFailure(row), out, now)
            row.isCallerGone && row.duplicates.isEmpty() -> finisher.fail(row, Failure(ErrorKind.CALLER_GONE), out, now)
            !mayRepeat -> finisher.fail(row, failure, out, now)
            budget.tryTakeRetry() -> queue(row, out)
            else -> {
                log.write(RoutingLogEvent.RETRY_BUDGET_EXHAUSTED, "request" to row.request.number)
                finisher.fail(row, failure, out, now)
            }
        }
    }

    private fun ineligible(
        row: RequestRow,
        slot: RequestNumber,
        server: ServerId,
        out: DeferredActions,
        now: Timestamp,
    ) {
        log.write(RoutingLogEvent.INELIGIBLE_GRANT, "request" to row.request.number, "server" to server)
        val count = row.ineligibleGrants + 1
        if (count >= settings.maximumIneligibleGrants) {
            returnSlot(slot, row, Failure(ErrorKind.NO_ELIGIBLE_SERVER, server.name), out, now)
        } else {
            out.defer { slots.settled(slot, 0.0, false, it) }
            val until = now.plusMilliseconds(settings.ineligibleGrantDelayMilliseconds)
            table.update(row.copy(phase = RequestPhase.Delayed(until), ineligibleGrants = count))
        }
    }

    private fun returnSlot(
        slot: RequestNumber,
        row: RequestRow,
        failure: Failure,
        out: DeferredActions,
        now: Timestamp,
    ) {
        out.defer { slots.settled(slot, 0.0, false, it) }
        finisher.fail(row, failure, out, now)
    }
}
