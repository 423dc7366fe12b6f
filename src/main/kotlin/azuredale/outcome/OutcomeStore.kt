package azuredale.outcome

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.logging.EventLog

/** Stores outcomes of finished requests, limited in number and total size. Requires the lock of the used tickets. */
internal class OutcomeStore(
    private val limits: OutcomeLimits,
    private val log: EventLog,
) {
    private val rows =
        Table<OutcomeId, ExecutionResult>("kept outcomes", OWNER, limits.maximumOutcomes, LockRank.USED_TICKETS)
    private var bytes = 0L

    /** Runs [block] while holding the table's lock. */
    fun <R> locked(block: () -> R): R = rows.locked(block)

    /** Returns what to do with a duplicate of the finished request [id], or null if no outcome is stored. */
    fun find(id: OutcomeId): IdentityDecision? = rows.locked {
        when (val end = rows[id]) {
            is ExecutionResult.Completed -> end.response?.let { IdentityDecision.ReturnStored(it) }
            is ExecutionResult.Failed -> IdentityDecision.Refused(end.failure)
            ExecutionResult.NotRun, null -> null
        }
    }

    /** Stores [end] unless it is too large. Evicts the oldest outcomes to stay within the limits. */
    fun store(id: OutcomeId, end: ExecutionResult): Unit = rows.locked {
        val size = sizeOf(end)
        val isTooLarge = end is ExecutionResult.Completed && (end.response == null || size > limits.maximumBodyBytes)
        if (isTooLarge) {
            log.write(OutcomeLogEvent.OUTCOME_NOT_KEPT, "bytes" to size)
        } else {
            while (rows.isFull || (bytes + size > limits.maximumTotalBytes && rows.size > 0)) dropOldest()
            if (rows.put(id, end)) bytes += size
        }
    }

    fun remove(id: OutcomeId): Unit = rows.locked {
        rows.remove(id)?.let { bytes -= sizeOf(it) }
    }

    private fun dropOldest() {
        val oldest = rows.entries.keys.first()
        log.write(OutcomeLogEvent.OUTCOME_NOT_KEPT, "bytes" to bytes)
        remove(oldest)
    }

    private fun sizeOf(end: ExecutionResult): Long = (end as? ExecutionResult.Completed)
        ?.response
        ?.body
        ?.size
        ?.toLong() ?: 0L

    private companion object {
        const val OWNER = "TicketController"
    }
}
