package azuredale.quarantine

import azuredale.freshness.StoreReadSchedule
import azuredale.identity.PartId
import azuredale.logging.EventLog
import azuredale.store.SingleCall
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope

/**
 * Keeps a [Quarantine] and its table in the store consistent.
 *
 * Routers pass the table on in their reports, so usually one of them reads it for all. A router that does not hear from
 * all others reads more often: another part of a divided fleet may have quarantined a part.
 *
 * @param rank position of this router in the order in which routers call the store.
 * @param isDivided whether a known router is silent.
 */
internal class QuarantineKeeper(
    private val quarantine: Quarantine,
    private val store: QuarantineStore,
    private val clock: Clock,
    scope: CoroutineScope,
    private val rank: () -> Int,
    private val isDivided: () -> Boolean,
    private val log: EventLog,
) {
    private val calls = SingleCall(clock, scope)
    private var hasChanged = false

    /** Draws conclusions and starts the calls to the store that are due. */
    fun tick(now: Timestamp) {
        quarantine.update(now)
        if (!calls.isFree(now)) return
        val unstored = quarantine.unstored.entries.firstOrNull { (_, since) -> now >= since.plusMilliseconds(delay()) }
        val released = quarantine.releasedParts.firstOrNull()
        when {
            unstored != null -> calls.start { write(unstored.key) { part, deadline -> store.add(part, deadline) } }
            released != null -> calls.start { write(released) { part, deadline -> store.remove(part, deadline) } }
            hasChanged || now >= quarantine.tableProvenAt.plusMilliseconds(readInterval()) -> calls.start(::read)
        }
    }

    /** Lets the table be read at once, since the store may have lost entries. */
    fun readAgain() {
        hasChanged = true
    }

    /** Claims the next trial of [part] after [trials] earlier ones; only one router of the fleet gets it. */
    suspend fun claimTrial(part: PartId, trials: Int): Boolean {
        val result = store.addTrial(part, trials, callDeadline())
        hasChanged = true
        log.write(QuarantineLogEvent.TRIAL_CLAIMED, "part" to part, "trials" to trials, "result" to result)
        return result is QuarantineCallResult.Done
    }

    private suspend fun write(part: PartId, send: suspend (PartId, Timestamp) -> QuarantineCallResult): Boolean {
        val result = send(part, callDeadline())
        log.write(QuarantineLogEvent.TABLE_WRITTEN, "part" to part, "result" to result)
        if (result is QuarantineCallResult.Failed) return false
        return read()
    }

    private suspend fun read(): Boolean {
        val sentAt = clock()
        hasChanged = false
        val table = store.read(callDeadline()) ?: return false
        quarantine.adoptTable(table, sentAt, clock())
        return true
    }

    private fun callDeadline() = clock().plusMilliseconds(StoreReadSchedule.CALL_TIMEOUT_MILLISECONDS)

    /** The first router stores a conclusion at once; the others only if they do not hear that it is stored. */
    private fun delay(): Long = rank().coerceAtMost(MAXIMUM_RANK) * RANK_DELAY_MILLISECONDS

    private fun readInterval(): Long {
        val interval = if (isDivided() || quarantine.size > 0) SHORT_INTERVAL_MILLISECONDS else INTERVAL_MILLISECONDS
        return interval + delay()
    }

    private companion object {
        /** While nothing is quarantined, only entries that operators add are to be noticed. */
        const val INTERVAL_MILLISECONDS = 5_000L

        /** A third of the shortest time in which all routers must act on a change, 3 s. */
        const val SHORT_INTERVAL_MILLISECONDS = 1_000L
        const val RANK_DELAY_MILLISECONDS = 200L
        const val MAXIMUM_RANK = 4
    }
}
