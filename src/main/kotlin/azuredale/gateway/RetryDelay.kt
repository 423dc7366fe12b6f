package azuredale.gateway

import azuredale.time.Timestamp

/** When a caller may repeat a request that was not run, where nothing tells it better. */
internal object RetryDelay {
    /** Long enough to recover from a brief disruption, or to read the store and to hear from another router. */
    private const val DISRUPTION_MILLISECONDS = 200L

    /** Short, because another router can take the request at once. */
    private const val ELSEWHERE_MILLISECONDS = 20L

    /** For a request that this router or the servers cannot serve at [now]. */
    fun afterDisruption(now: Timestamp): Timestamp = now.plusMilliseconds(DISRUPTION_MILLISECONDS)

    /** For a request that another router can serve at [now]. */
    fun elsewhere(now: Timestamp): Timestamp = now.plusMilliseconds(ELSEWHERE_MILLISECONDS)
}
