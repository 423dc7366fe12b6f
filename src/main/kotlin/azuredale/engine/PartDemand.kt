package azuredale.engine

import azuredale.time.Timestamp
import kotlin.math.exp

/**
 * How often each prompt part is asked for, as requests of this router and reports of others show.
 *
 * Reports name a part once in a while however often it is read, so the rate of a hot part is a lower bound.
 */
internal class PartDemand {
    private class Count(
        var requests: Double,
        var at: Timestamp,
    )

    /** Ordered by the last request. */
    private val counts = LinkedHashMap<String, Count>()

    /** Records a request with the part [id]. */
    fun record(id: String, now: Timestamp) {
        val count = counts.remove(id) ?: Count(0.0, now)
        count.requests = decayed(count, now) + 1
        count.at = now
        counts[id] = count
        if (counts.size > MAXIMUM_PARTS) counts.remove(counts.keys.first())
    }

    /** Requests per second with the part [id], as a mean that forgets after [WINDOW_SECONDS]. */
    fun ratePerSecond(id: String, now: Timestamp): Double = counts[id]?.let { decayed(it, now) / WINDOW_SECONDS } ?: 0.0

    /** Probability that the part [id] is asked for again within [WINDOW_SECONDS]. */
    fun probabilityOfReuse(id: String, now: Timestamp): Double = counts[id]?.let { 1 - exp(-decayed(it, now)) } ?: 0.0

    private fun decayed(count: Count, now: Timestamp) =
        count.requests * exp(-now.secondsSince(count.at).coerceAtLeast(0.0) / WINDOW_SECONDS)

    companion object {
        /** Sees sessions whose callers pause between requests, and follows a jump of demand. */
        const val WINDOW_SECONDS = 10.0

        /** Bounds memory; parts that were asked for longest ago are forgotten. */
        private const val MAXIMUM_PARTS = 4_096
    }
}
