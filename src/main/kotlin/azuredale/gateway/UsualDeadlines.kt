package azuredale.gateway

/**
 * The time that callers of each route usually give, by which a caller that returns after a refusal is known: it has less
 * time left, by what has passed since its first try.
 */
internal class UsualDeadlines {
    private val usual = HashMap<String, Long>()

    /** Milliseconds that a caller with [remaining] left has used before, 0 for a first try. */
    fun used(route: String, remaining: Long?): Long {
        if (remaining == null) return 0
        val longest = maxOf(usual[route] ?: 0, remaining)
        if (usual.size < MAXIMUM_ROUTES || route in usual) usual[route] = longest
        return longest - remaining
    }

    private companion object {
        /** Bounds memory; more routes than a catalog of today's size has. */
        const val MAXIMUM_ROUTES = 10_000
    }
}
