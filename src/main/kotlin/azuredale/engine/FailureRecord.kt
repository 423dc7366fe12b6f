package azuredale.engine

import azuredale.time.Timestamp

/**
 * Failures of one server as this router saw them, and until when it gets no new work because of them.
 *
 * After the deadline one request at a time is a trial; its success takes the server back.
 */
internal class FailureRecord {
    private var consecutive = 0
    private var excludedUntil = Timestamp.DISTANT_PAST
    private var trialUntil = Timestamp.DISTANT_PAST

    /** Whether the server may get a request at [now]. */
    fun isUsable(now: Timestamp): Boolean = now >= excludedUntil && (consecutive < LIMIT || now >= trialUntil)

    /** Notes that a request is sent to the server at [now]. */
    fun sent(now: Timestamp) {
        if (consecutive >= LIMIT) trialUntil = now.plusMilliseconds(TRIAL_MILLISECONDS)
    }

    /** Notes an answer. */
    fun succeeded() {
        consecutive = 0
    }

    /** Notes a failure of the server; returns whether it is excluded from now on. */
    fun failed(now: Timestamp): Boolean {
        consecutive++
        if (consecutive < LIMIT) return false
        val doublings = (consecutive - LIMIT).coerceAtMost(MAXIMUM_DOUBLINGS)
        excludedUntil = now.plusMilliseconds(EXCLUSION_MILLISECONDS shl doublings)
        return true
    }

    private companion object {
        /** One failure may be a broken connection; two in a row without an answer between them point at the server. */
        const val LIMIT = 2

        /** Servers that crash are back within seconds; each further failure doubles the time, up to 3.2 s. */
        const val EXCLUSION_MILLISECONDS = 400L
        const val MAXIMUM_DOUBLINGS = 3

        /** At most one trial is under way for about as long as a request takes. */
        const val TRIAL_MILLISECONDS = 500L
    }
}
