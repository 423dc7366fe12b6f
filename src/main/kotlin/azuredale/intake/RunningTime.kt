package azuredale.intake

import azuredale.time.Clock
import azuredale.time.Timestamp

/**
 * Time in which the process runs: of each pause, for example for a garbage collection, only a bounded part counts.
 *
 * Asked at each step of the work, since what passes between two steps counts up to [STEP_MILLISECONDS] only.
 */
internal class RunningTime(private val clock: Clock) {
    private var lastStepAt = clock()
    private var time = lastStepAt

    /** The present time; differences between two of its results leave out pauses in between. */
    fun now(): Timestamp {
        val now = clock()
        time = minOf(now.plusMicroseconds(time.microsecondsSince(lastStepAt)), time.plusMilliseconds(STEP_MILLISECONDS))
        lastStepAt = now
        return time
    }

    private companion object {
        /** Half of the time for which requests may wait, so that a single pause never exceeds it. */
        const val STEP_MILLISECONDS = 50L
    }
}
