package azuredale.resumption

import azuredale.freshness.StoreReadSchedule
import azuredale.identity.PoolId
import azuredale.logging.EventLog
import azuredale.store.SingleCall
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope

/**
 * Keeps the notes of mixed pools in the store up to date.
 *
 * After all routers have been killed, only the store knows that streams may have been begun by servers of several
 * versions. Nothing is written or read while all servers of each pool have the same version, except by a router that
 * was started lately and gets the caller of a broken stream.
 *
 * @param rank position of this router in the order in which routers call the store.
 */
internal class VersionNoteKeeper(
    private val versions: PoolVersions,
    private val notes: VersionNotes,
    private val clock: Clock,
    scope: CoroutineScope,
    private val rank: () -> Int,
    private val log: EventLog,
) {
    private val calls = SingleCall(clock, scope)
    private var pools: Set<PoolId>? = null

    /** Starts the call to the store that is due. */
    fun tick(now: Timestamp) {
        if (!calls.isFree(now)) return
        val unnoted = versions.unnoted(now)?.takeIf { (_, since) -> now >= since.plusMilliseconds(delay()) }
        val outlived =
            versions.outlived()?.takeIf { (_, since) ->
                rank() <= MAXIMUM_RANK && now >= since.plusMilliseconds(delay())
            }
        when {
            unnoted != null -> calls.start { add(unnoted.first) }
            outlived != null -> calls.start { remove(outlived.first) }
        }
    }

    /**
     * Whether the store has had a note of [pool] since this router's first directory, null if that cannot be read.
     *
     * What happened later is known from this router's own directories, so the notes are read once.
     */
    suspend fun isNoted(pool: PoolId): Boolean? {
        val known = pools ?: notes.read(callDeadline())?.also { pools = it } ?: return null
        return pool in known
    }

    private suspend fun add(pool: PoolId): Boolean {
        val sentAt = clock()
        val isDone = notes.add(pool, callDeadline())
        log.write(ResumptionLogEvent.NOTE_WRITTEN, "pool" to pool, "isNoted" to isDone)
        if (isDone) versions.noted(pool, sentAt)
        return isDone
    }

    private suspend fun remove(pool: PoolId): Boolean {
        val isDone = notes.remove(pool, callDeadline())
        log.write(ResumptionLogEvent.NOTE_REMOVED, "pool" to pool, "isRemoved" to isDone)
        if (isDone) versions.noteRemoved(pool)
        return isDone
    }

    private fun callDeadline() = clock().plusMilliseconds(StoreReadSchedule.CALL_TIMEOUT_MILLISECONDS)

    /** The first router calls at once; the others only if they do not hear that it has. */
    private fun delay(): Long = rank().coerceAtMost(MAXIMUM_RANK) * RANK_DELAY_MILLISECONDS

    private companion object {
        /** Longer than it takes with relays until all routers hear that the note is written. */
        const val RANK_DELAY_MILLISECONDS = 800L
        const val MAXIMUM_RANK = 2
    }
}
