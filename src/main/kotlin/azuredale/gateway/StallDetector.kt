package azuredale.gateway

import azuredale.time.Clock
import azuredale.time.Timestamp

/**
 * Detects that a stream has stalled: for [MILLISECONDS] it had no event that counts as progress.
 *
 * @param timer schedules an action for a given time.
 * @param onDue called when [isStalled] is to be asked.
 */
internal class StallDetector(
    private val clock: Clock,
    private val timer: (Timestamp, () -> Unit) -> Timer,
    private val onDue: () -> Unit,
) {
    private var dueAt: Timestamp? = null
    private var scheduled: Timer? = null

    /** Whether the stream has made any progress yet. */
    val hasBegun: Boolean get() = dueAt != null

    /** Records progress of the stream at [now]. */
    fun recordProgress(now: Timestamp) {
        val isScheduled = hasBegun
        dueAt = now.plusMilliseconds(MILLISECONDS)
        if (!isScheduled) schedule()
    }

    /** Whether the stream has stalled. While [isPaused], it waits for its caller and counts as progressing. */
    fun isStalled(isPaused: Boolean): Boolean {
        val now = clock()
        if (!isPaused && dueAt?.let { now >= it } == true) return true
        if (isPaused) dueAt = now.plusMilliseconds(MILLISECONDS)
        schedule()
        return false
    }

    /** Stops the detection. */
    fun cancel() {
        scheduled?.cancel()
    }

    private fun schedule() {
        scheduled = timer(checkNotNull(dueAt), onDue)
    }

    companion object {
        /** Longer than callers wait for the next event of a stream, and than sound streams pause. */
        const val MILLISECONDS = 5_000L
    }
}
