package azuredale.engine

import azuredale.time.Timestamp

/**
 * Circuit breaker for one server: after consecutive failures, excludes the server from new requests for some time.
 *
 * When the exclusion ends, one request at a time is sent as a trial; a successful trial resets the failure count.
 */
internal class CircuitBreaker {
    private var consecutiveFailures = 0
    private var excludedUntil = Timestamp.DISTANT_PAST
    private var trialUntil = Timestamp.DISTANT_PAST

    /** Whether the server may get a request at [now]. */
    fun allowsRequest(now: Timestamp): Boolean =
        now >= excludedUntil && (consecutiveFailures < FAILURE_THRESHOLD || now >= trialUntil)

    /** Records that a request is sent to the server; the request is a trial if the server has been excluded. */
    fun recordSent(now: Timestamp) {
        if (consecutiveFailures >= FAILURE_THRESHOLD) trialUntil = now.plusMilliseconds(TRIAL_MILLISECONDS)
    }

    /** Records a response of the server. */
    fun recordSuccess() {
        consecutiveFailures = 0
    }

    /** Records a failure of the server; returns whether the server is now excluded. */
    fun recordFailure(now: Timestamp): Boolean {
        consecutiveFailures++
        if (consecutiveFailures < FAILURE_THRESHOLD) return false
        val doublings = (consecutiveFailures - FAILURE_THRESHOLD).coerceAtMost(MAXIMUM_DOUBLINGS)
        excludedUntil = now.plusMilliseconds(EXCLUSION_MILLISECONDS shl doublings)
        return true
    }

    private companion object {
        /** One failure may be a broken connection; two without a response in between suggest a failed server. */
        const val FAILURE_THRESHOLD = 2

        /** Crashed servers restart within seconds; each further failure doubles the exclusion, up to 3.2 s. */
        const val EXCLUSION_MILLISECONDS = 400L
        const val MAXIMUM_DOUBLINGS = 3

        /** About the duration of a request, so that at most one trial is in progress. */
        const val TRIAL_MILLISECONDS = 500L
    }
}
