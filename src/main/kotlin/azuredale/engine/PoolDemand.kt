package azuredale.engine

import azuredale.time.Timestamp
import kotlin.math.sqrt

/** What this router's requests to one pool take of the servers' memory, and how soon they free it. */
internal class PoolDemand {
    private val asked = RecentRate(RATE_MICROSECONDS)
    private val freed = RecentRate(RATE_MICROSECONDS)
    private val largest = RecentMaximum(LARGEST_MICROSECONDS)
    private var largestRefused = 0L
    private var refusalCountsUntil = Timestamp.DISTANT_PAST
    private var count = 0
    private var mean = 0.0
    private var meanSquare = 0.0
    private var ownMean = 0.0
    private var ownMeanSquare = 0.0

    /** Records that a request asks for room; it takes [tokens], [ownTokens] of them for itself. */
    fun recordAsked(tokens: Long, ownTokens: Long, now: Timestamp) {
        asked.add(1.0, now)
        largest.add(tokens, now)
        val size = tokens.toDouble()
        if (count < SMOOTHED_REQUESTS) count++
        val weight = 1.0 / count
        mean += (size - mean) * weight
        meanSquare += (size * size - meanSquare) * weight
        ownMean += (ownTokens - ownMean) * weight
        ownMeanSquare += (ownTokens.toDouble() * ownTokens - ownMeanSquare) * weight
    }

    /** Records that a request that takes [tokens] found room, which ends the wait of one as large. */
    fun recordFound(tokens: Long) {
        if (tokens >= largestRefused) largestRefused = 0
    }

    /** Records that a request that takes [tokens] was refused for room. */
    fun recordRefused(tokens: Long, now: Timestamp) {
        largestRefused = maxOf(refusedTokens(now), tokens)
        refusalCountsUntil = now.plusMicroseconds(LARGEST_MICROSECONDS)
    }

    /** The largest request that was refused in the last seconds, until one as large finds room; 0 if there is none. */
    fun refusedTokens(now: Timestamp): Long = if (now < refusalCountsUntil) largestRefused else 0

    /** Records that the end of a request freed [tokens]. */
    fun recordFreed(tokens: Int, now: Timestamp) = freed.add(tokens.toDouble(), now)

    /** The largest request of the last seconds, in tokens; 0 if there is none. */
    fun largestTokens(now: Timestamp): Long = largest.value(now)

    /** Requests per second that ask this router for room; all of them are sent as soon as there is some. */
    fun askedPerSecond(now: Timestamp): Double = asked.perSecond(now)

    /** Tokens that requests of this router free per second. */
    fun freedPerSecond(now: Timestamp): Double = freed.perSecond(now)

    /** Whether as many requests as [slots] could exceed [capacity] tokens; rare sums do not count. */
    fun isBound(slots: Int, capacity: Long): Boolean {
        val variance = (meanSquare - mean * mean).coerceAtLeast(0.0)
        return slots * mean + RARE_DEVIATIONS * sqrt(slots * variance) > capacity
    }

    /** Tokens that the requests of a time in which [requests] are expected to arrive rarely exceed. */
    fun tokensOfArrivals(requests: Double, now: Timestamp): Long {
        if (requests <= RARE) return 0
        val bound = requests * ownMean + RARE_DEVIATIONS * sqrt(requests * ownMeanSquare)
        return maxOf(bound.toLong(), largestTokens(now))
    }

    private companion object {
        /** A request in 500 may meet less room than was expected; see [OutputLengths]. */
        const val RARE = 0.002

        /** Standard deviations that a normally distributed value exceeds with that probability. */
        const val RARE_DEVIATIONS = 2.88

        /** Several times as long as a request usually runs. */
        const val RATE_MICROSECONDS = 4 * Timestamp.MICROSECONDS_PER_SECOND

        /** Longer than the time after which refused callers return. */
        const val LARGEST_MICROSECONDS = 5 * Timestamp.MICROSECONDS_PER_SECOND

        /** Enough to know the mix of requests, and few enough to follow it. */
        const val SMOOTHED_REQUESTS = 100
    }
}
