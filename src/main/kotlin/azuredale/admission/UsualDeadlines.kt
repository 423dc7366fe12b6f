package azuredale.admission

/**
 * Recognizes retries by their time budget: a caller that retries after a refusal has less time left, by the time since
 * its first attempt.
 *
 * Budgets on one route vary between callers, so only a budget below the usual range of the route indicates a retry.
 */
internal class UsualDeadlines {
    private val longest = HashMap<String, Long>()

    /** Lower bound on the milliseconds since the caller's first attempt; 0 if this may be the first attempt. */
    fun used(route: String, remaining: Long?): Long {
        if (remaining == null) return 0
        val known = maxOf(longest[route] ?: 0, remaining)
        if (longest.size < MAXIMUM_ROUTES || route in longest) longest[route] = known
        return ((known * USUAL_PART).toLong() - remaining).coerceAtLeast(0)
    }

    private companion object {
        /** First attempts have budgets between 0.85 and 1 times the longest budget of their route. */
        const val USUAL_PART = 0.85

        /** Bounds memory; a catalog has fewer routes. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
