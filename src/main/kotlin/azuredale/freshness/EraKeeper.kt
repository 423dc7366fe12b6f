package azuredale.freshness

import azuredale.gateway.GatewayLogEvent
import azuredale.logging.EventLog
import azuredale.store.SingleCall
import azuredale.store.StoreEra
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope

/**
 * Keeps the note of the settled era in the store.
 *
 * A router that starts cannot tell whether the store's era has just begun. It learns that from the other routers, or
 * from the note if none of them has told it. A store that names no era gets no calls.
 *
 * @param rank position of this router in the order in which routers call the store.
 */
internal class EraKeeper(
    private val history: StoreHistory,
    private val notes: EraNotes,
    private val clock: Clock,
    scope: CoroutineScope,
    private val rank: () -> Int,
    private val log: EventLog,
) {
    private val calls = SingleCall(clock, scope)
    private var knownEra = StoreEra.NONE
    private var knownAt = Timestamp.DISTANT_PAST
    private var noted = StoreEra.NONE
    private var isRead = false

    /** Starts the call to the store that is due. */
    fun tick(now: Timestamp) {
        if (history.era != knownEra) {
            knownEra = history.era
            knownAt = now
        }
        if (knownEra == StoreEra.NONE || noted == knownEra || !calls.isFree(now)) return
        val isSettled = history.isSettled(now)
        when {
            isSettled && rank() <= MAXIMUM_RANK && now >= writeAt() -> calls.start { write(knownEra) }
            !isSettled && !isRead && history.isFirstEra && now >= knownAt.plusMilliseconds(REPORT_MILLISECONDS) ->
                calls.start { read(knownEra) }
        }
    }

    /** Ranks are known once the other routers have reported. */
    private fun writeAt() = maxOf(knownAt.plusMilliseconds(FIRST_REPORTS_MILLISECONDS), history.settledAt)
        .plusMilliseconds(rank() * RANK_DELAY_MILLISECONDS)

    private suspend fun write(era: StoreEra): Boolean {
        val isDone = notes.write(era, callDeadline())
        if (isDone) noted = era
        return isDone
    }

    private suspend fun read(era: StoreEra): Boolean {
        val found = notes.read(callDeadline()) ?: return false
        isRead = true
        log.write(GatewayLogEvent.ERA_NOTE_READ, "era" to era, "settled" to found)
        if (found == era && found == history.era) {
            noted = found
            history.recordSettled()
        }
        return true
    }

    private fun callDeadline() = clock().plusMilliseconds(StoreReadSchedule.CALL_TIMEOUT_MILLISECONDS)

    private companion object {
        /** Time in which other routers usually have reported to one that starts. */
        const val REPORT_MILLISECONDS = 200L

        /** Time in which all other routers have reported to one that starts. */
        const val FIRST_REPORTS_MILLISECONDS = 3_000L

        /** Longer than a write takes. */
        const val RANK_DELAY_MILLISECONDS = 800L
        const val MAXIMUM_RANK = 2
    }
}
