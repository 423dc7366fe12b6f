package azuredale.gateway

import azuredale.time.Timestamp

/**
 * Decides whether the event loop of a router has stopped while its process runs.
 *
 * A thread of its own asks at regular times. Only questions that come on time count: where the VM stands still or has
 * no processor time, the questions are late as well.
 */
internal class LoopWatchdog {
    private var lastProgress = -1L
    private var dueAt = Timestamp.DISTANT_PAST
    private var checksWithoutProgress = 0

    /** Returns whether the event loop has stopped at [now]; [progress] is a count that it increases while it runs. */
    fun hasStopped(progress: Long, now: Timestamp): Boolean {
        val isOnTime = now < dueAt.plusMilliseconds(MAXIMUM_DELAY_MILLISECONDS)
        dueAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        checksWithoutProgress = if (isOnTime && progress == lastProgress) checksWithoutProgress + 1 else 0
        lastProgress = progress
        return checksWithoutProgress >= MAXIMUM_CHECKS
    }

    companion object {
        /** Interval of the checks. */
        const val PERIOD_MILLISECONDS = 1_000L

        /** A check that is later than this says that the process had no time. */
        private const val MAXIMUM_DELAY_MILLISECONDS = 500L

        /** Longer than any caller waits for the next event of a stream. */
        private const val MAXIMUM_CHECKS = 10
    }
}
