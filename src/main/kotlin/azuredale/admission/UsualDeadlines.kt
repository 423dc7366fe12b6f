package azuredale.admission

/**
 * The time that callers of each route give, by which a caller that returns after a refusal is known: it has less time
 * left, by what has passed since its first try.
 *
 * Callers of one route give somewhat different times, so only what lies below the usual range shows a return.
 */
internal class UsualDeadlines {
    private val longest = HashMap<String, Long>()

    /** Milliseconds that a caller with [remaining] left has used before at the least, 0 for what may be a first try. */
    fun used(route: String, remaining: Long?): Long {
        if (remaining == null) return 0
        val known = maxOf(longest[route] ?: 0, remaining)
        if (longest.size < MAXIMUM_ROUTES || route in longest) longest[route] = known
        return ((known * USUAL_PART).toLong() - remaining).coerceAtLeast(0)
    }

    private companion object {
        /** First tries were seen to give between 0.85 and 1 times the longest time of their route. */
        const val USUAL_PART = 0.85

        /** Bounds memory; more routes than a catalog of today's size has. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
