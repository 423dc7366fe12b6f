package azuredale.admission

/**
 * Recognizes retries by their time budget: a caller that retries after a refusal has less time left, by the time since
 * its first attempt.
 *
 * Budgets on one route vary between callers, so only a budget below the usual range of the route indicates a retry.
 */
internal class RetryDetector {
    private val longestBudgets = HashMap<String, Long>()

    /** Lower bound on the milliseconds since the caller's first attempt; 0 if this may be the first attempt. */
    fun elapsed(route: String, remaining: Long?): Long {
        if (remaining == null) return 0
        val longest = maxOf(longestBudgets[route] ?: 0, remaining)
        if (longestBudgets.size < MAXIMUM_ROUTES || route in longestBudgets) longestBudgets[route] = longest
        return ((longest * USUAL_FRACTION).toLong() - remaining).coerceAtLeast(0)
    }

    private companion object {
        /** First attempts have budgets between 0.85 and 1 times the longest budget of their route. */
        const val USUAL_FRACTION = 0.85

        /** Bounds memory; a catalog has fewer routes. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
