package azuredale.admission

import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * Tokens that a team requested and was granted within the window.
 *
 * @property granted tokens of requests that began, and of those that were admitted and are still to begin.
 * @property recentRequested tokens requested within the last half second.
 * @property recentBegun tokens of requests that began within the last half second.
 */
internal data class TokenUsage(
    val requested: Long = 0,
    val granted: Long = 0,
    val recentRequested: Long = 0,
    val recentBegun: Long = 0,
) {
    operator fun plus(other: TokenUsage): TokenUsage = TokenUsage(
        requested + other.requested,
        granted + other.granted,
        recentRequested + other.recentRequested,
        recentBegun + other.recentBegun,
    )

    /** The difference, without negative parts. */
    operator fun minus(other: TokenUsage): TokenUsage = TokenUsage(
        (requested - other.requested).coerceAtLeast(0),
        (granted - other.granted).coerceAtLeast(0),
        (recentRequested - other.recentRequested).coerceAtLeast(0),
        (recentBegun - other.recentBegun).coerceAtLeast(0),
    )

    companion object {
        /** Nothing requested. */
        val NONE = TokenUsage()
    }
}

/**
 * Token usage per team over a sliding window: measured at this router, and reported by the other routers.
 *
 * Teams are identified by a hash of their name, which is the same on every router and keeps reports short.
 */
internal class TeamUsage {
    private class Bucket(val start: Timestamp) {
        val usage = HashMap<Int, TokenUsage>()
    }

    private class ReportedUsage(
        val usage: Map<Int, TokenUsage>,
        val validUntil: Timestamp,
    )

    private val buckets = ArrayDeque<Bucket>()

    /** Tokens of admitted requests that no server has begun yet. */
    private val owed = HashMap<Int, Long>()
    private val peers = HashMap<RouterId, ReportedUsage>()
    private var fleet: Map<Int, TokenUsage> = emptyMap()
    private var fleetUpdatedAt = Timestamp.DISTANT_PAST

    /** Records that [team] requested [tokens]. */
    fun recordRequested(team: TeamId, tokens: Int, now: Timestamp) =
        add(team, TokenUsage(requested = tokens.toLong()), now)

    /** Records that a request of [team] with [tokens] began. */
    fun recordGranted(team: TeamId, tokens: Int, now: Timestamp) = add(team, TokenUsage(granted = tokens.toLong()), now)

    /** Records that a request of [team] with [tokens] was admitted, and is to begin. */
    fun recordOwed(team: TeamId, tokens: Int) {
        owed.merge(teamHash(team), tokens.toLong(), Long::plus)
    }

    /** Records that a request of [team] with [tokens] began, or ended before that. */
    fun recordSettled(team: TeamId, tokens: Int) {
        owed.computeIfPresent(teamHash(team)) { _, before -> (before - tokens).takeIf { it > 0 } }
    }

    /** Usage at this router, for reports to other routers. */
    fun localUsage(now: Timestamp): Map<Int, TokenUsage> {
        evictExpired(now)
        val sums = HashMap<Int, TokenUsage>()
        buckets.forEach { bucket ->
            val isRecent = now.microsecondsSince(bucket.start) <= RECENT_MICROSECONDS
            bucket.usage.forEach { (team, usage) ->
                val recent =
                    if (isRecent) {
                        usage.copy(recentRequested = usage.requested, recentBegun = usage.granted)
                    } else {
                        usage
                    }
                sums.merge(team, recent, TokenUsage::plus)
            }
        }
        owed.forEach { (team, tokens) -> sums.merge(team, TokenUsage(granted = tokens), TokenUsage::plus) }
        return sums
    }

    /** Replaces the usage reported by [router], which expires at [validUntil]. */
    fun updatePeer(router: RouterId, usage: Map<Int, TokenUsage>, validUntil: Timestamp) {
        peers[router] = ReportedUsage(usage, validUntil)
    }

    /** Removes the usage reported by all routers except [kept]. */
    fun retainPeer(kept: RouterId?) {
        peers.keys.retainAll { it == kept }
    }

    /** Sum of this router's usage and the unexpired usage that the routers accepted by [isIncluded] reported. */
    fun sum(now: Timestamp, isIncluded: (RouterId) -> Boolean): Map<Int, TokenUsage> {
        val sums = HashMap(localUsage(now))
        peers.values.removeIf { it.validUntil < now }
        peers.forEach { (router, reported) ->
            if (isIncluded(router)) {
                reported.usage.forEach { (team, usage) -> sums.merge(team, usage, TokenUsage::plus) }
            }
        }
        return sums
    }

    /** Usage of all teams summed over all routers; cached for a short time. */
    fun fleetUsage(now: Timestamp): Map<Int, TokenUsage> {
        if (now.microsecondsSince(fleetUpdatedAt) < REFRESH_MICROSECONDS) return fleet
        fleet = sum(now) { true }
        fleetUpdatedAt = now
        return fleet
    }

    private fun add(team: TeamId, usage: TokenUsage, now: Timestamp) {
        val newest = buckets.lastOrNull()
        val bucket =
            if (newest == null || now.microsecondsSince(newest.start) >= BUCKET_MICROSECONDS) {
                evictExpired(now)
                Bucket(now).also { buckets.addLast(it) }
            } else {
                newest
            }
        bucket.usage.merge(teamHash(team), usage, TokenUsage::plus)
    }

    private fun evictExpired(now: Timestamp) {
        while (buckets.isNotEmpty() && now.microsecondsSince(buckets.first().start) > WINDOW_MICROSECONDS) {
            buckets.removeFirst()
        }
    }

    companion object {
        /** Long enough to smooth over single requests, short enough to react when a team starts to flood. */
        const val WINDOW_MICROSECONDS = 4_000_000L

        /** Short enough to follow a team that floods in turn with others, long enough for tens of requests. */
        private const val RECENT_MICROSECONDS = 500_000L
        private const val BUCKET_MICROSECONDS = 125_000L

        /** Sums over the fleet change little within this time. */
        private const val REFRESH_MICROSECONDS = 20_000L

        /** Identifies [team] in reports between routers. */
        fun teamHash(team: TeamId): Int = team.name.hashCode()
    }
}
