package azuredale.engine

import azuredale.time.Timestamp

/**
 * Prompt parts that routers sent to one server within the last two to four seconds, about as long as a request runs, so
 * that requests in progress may share them. Each part counts once.
 */
internal class RecentParts {
    private var startedAt = Timestamp.DISTANT_PAST
    private var current = HashMap<String, Int>()
    private var previous = HashMap<String, Int>()
    private var sum = 0L

    /** When parts will be forgotten, so that [tokens] and [contains] change. */
    val changesAt: Timestamp get() = startedAt.plusMicroseconds(PERIOD_MICROSECONDS)

    /** Records that [part], which has [tokens], was sent. */
    fun record(part: String, tokens: Int, now: Timestamp) {
        advance(now)
        if (tokens < 0 || current.size >= MAXIMUM_PARTS || current.put(part, tokens) != null) return
        sum += tokens - (previous.remove(part) ?: 0)
    }

    /** Tokens of the parts, each of them counted once. */
    fun tokens(now: Timestamp): Long {
        advance(now)
        return sum
    }

    /** Whether [part] is one of them. */
    fun contains(part: String): Boolean = part in current || part in previous

    private fun advance(now: Timestamp) {
        val passed = now.microsecondsSince(startedAt)
        if (passed < PERIOD_MICROSECONDS) return
        val isOver = passed >= 2 * PERIOD_MICROSECONDS
        previous = if (isOver) HashMap() else current
        current = HashMap()
        sum = previous.values.sumOf { it.toLong() }
        startedAt = now
    }

    private companion object {
        const val PERIOD_MICROSECONDS = 2 * Timestamp.MICROSECONDS_PER_SECOND

        /** Bounds memory; more distinct parts do not fit into a server. */
        const val MAXIMUM_PARTS = 1_024
    }
}
