package azuredale.routing

import azuredale.identity.RequestNumber
import azuredale.logging.EventLog
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.ExecutionResult
import azuredale.outcome.Failure
import azuredale.outcome.TicketController
import azuredale.time.Timestamp

/** Ends requests: determines the reported execution state, records the outcome and finishes joined duplicates. */
internal class RequestFinisher(
    private val table: RequestTable,
    private val tickets: TicketController,
    private val settings: RequestSettings,
    private val log: EventLog,
) {
    /** Ends [row] with a complete response. */
    fun complete(row: RequestRow, response: StoredResponse?, out: DeferredActions, now: Timestamp) {
        record(row, ExecutionResult.Completed(response), now)
        table.remove(row.request.number)
        out.emit(NodeEffect.FinishRequest(row.request.number, RequestResult.Completed))
        val joinedResult =
            response?.let { RequestResult.Duplicate(it) }
                ?: RequestResult.Failed(Failure(ErrorKind.OUTCOME_DROPPED))
        finishDuplicates(row, joinedResult, out)
    }

    /** Ends [row] with [cause]. Reports the execution as unknown if the request may have run here or elsewhere. */
    fun fail(row: RequestRow, cause: Failure, out: DeferredActions, now: Timestamp) {
        val failure = withRetryTime(withKnownExecution(row, cause), now)
        if (row.phase is RequestPhase.Joined) {
            removeJoined(row, row.phase.original)
        } else {
            record(row, if (row.mayHaveRun) ExecutionResult.Failed(failure) else ExecutionResult.NotRun, now)
        }
        table.remove(row.request.number)
        emitFailure(row.request.number, failure, out)
        finishDuplicates(row, RequestResult.Failed(failure), out)
    }

    /** Refuses a request that was not added to the table. */
    fun refuse(request: RequestNumber, failure: Failure, out: DeferredActions, now: Timestamp): Unit =
        emitFailure(request, withRetryTime(failure, now), out)

    /** Returns the failure for a request whose deadline has passed. */
    fun deadlineFailure(row: RequestRow): Failure {
        val isWaiting = !row.mayHaveRun && row.phase !is RequestPhase.Joined
        return Failure(if (isWaiting) ErrorKind.DEADLINE_BEFORE_START else ErrorKind.DEADLINE_DURING_RUN)
    }

    private fun withKnownExecution(row: RequestRow, cause: Failure): Failure = when {
        row.mayHaveRun && row.resumeAt > 0 && cause.execution == Execution.NOT_RUN ->
            Failure(ErrorKind.STREAM_BROKEN, cause.kind.text)
        row.mayHaveRun || !row.isExclusive -> cause.copy(execution = Execution.UNKNOWN)
        else -> cause
    }

    private fun record(row: RequestRow, end: ExecutionResult, now: Timestamp) {
        when (val identity = row.request.identity) {
            is RequestIdentity.Ticket -> tickets.ticketEnded(identity.text, end, now)
            is RequestIdentity.Key -> tickets.keyEnded(row.request.team, identity.text, row.isExclusive, end, now)
            RequestIdentity.Idempotent, RequestIdentity.Missing -> Unit
        }
    }

    private fun removeJoined(row: RequestRow, original: RequestNumber) {
        val leader = table[original] ?: return
        table.update(leader.copy(duplicates = leader.duplicates - row.request.number))
    }

    private fun finishDuplicates(row: RequestRow, result: RequestResult, out: DeferredActions) {
        for (duplicate in row.duplicates) {
            if (table.remove(duplicate) != null) out.emit(NodeEffect.FinishRequest(duplicate, result))
        }
    }

    private fun emitFailure(request: RequestNumber, failure: Failure, out: DeferredActions) {
        log.write(
            RoutingLogEvent.REQUEST_FAILED,
            "request" to request,
            "kind" to failure.kind,
            "execution" to failure.execution,
        )
        out.emit(NodeEffect.FinishRequest(request, RequestResult.Failed(failure)))
    }

    private fun withRetryTime(failure: Failure, now: Timestamp): Failure = if (failure.kind.isRetryable &&
        failure.retryAt == null
    ) {
        failure.copy(retryAt = now.plusMilliseconds(settings.retryAfterMilliseconds))
    } else {
        failure
    }
}
