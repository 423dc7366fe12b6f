package azuredale.admission

import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** Tokens that a team requested and was granted within the window. */
internal data class TokenUsage(
    val requested: Long = 0,
    val granted: Long = 0,
) {
    operator fun plus(other: TokenUsage): TokenUsage = TokenUsage(requested + other.requested, granted + other.granted)

    /** The difference, without negative parts. */
    operator fun minus(other: TokenUsage): TokenUsage = TokenUsage(
        (requested - other.requested).coerceAtLeast(0),
        (granted - other.granted).coerceAtLeast(0),
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
        val asOf: Timestamp,
        val validUntil: Timestamp,
    )

    private val buckets = ArrayDeque<Bucket>()
    private val peers = HashMap<RouterId, ReportedUsage>()
    private var fleet: Map<Int, TokenUsage> = emptyMap()
    private var fleetUpdatedAt = Timestamp.DISTANT_PAST

    /** Records that [team] requested [tokens]. */
    fun recordRequested(team: TeamId, tokens: Int, now: Timestamp) =
        add(team, TokenUsage(requested = tokens.toLong()), now)

    /** Records that [team] was granted [tokens]. */
    fun recordGranted(team: TeamId, tokens: Int, now: Timestamp) = add(team, TokenUsage(granted = tokens.toLong()), now)

    /** Usage at this router, for reports to other routers. */
    fun localUsage(now: Timestamp): Map<Int, TokenUsage> {
        evictExpired(now)
        val sums = HashMap<Int, TokenUsage>()
        buckets.forEach { bucket ->
            bucket.usage.forEach { (team, usage) -> sums.merge(team, usage, TokenUsage::plus) }
        }
        return sums
    }

    /** Replaces the usage reported by [router], which is as of [asOf] and expires at [validUntil]. */
    fun updatePeer(router: RouterId, usage: Map<Int, TokenUsage>, asOf: Timestamp, validUntil: Timestamp) {
        peers[router] = ReportedUsage(usage, asOf, validUntil)
    }

    /** Time of the oldest usage of other routers that is in the sums, null if there is none. */
    fun oldestReport(): Timestamp? = peers.values.minOfOrNull { it.asOf }

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

    /** Whether routers of the fleet refused a noticeable part of what the teams requested. */
    fun isScarce(now: Timestamp): Boolean {
        val usage = fleetUsage(now).values
        return usage.sumOf { it.requested } > usage.sumOf { it.granted } * SCARCE_RATIO
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
        /**
         * Long enough to smooth over single requests, and a small part of the seconds over which users compare teams:
         * what a team had before its demand or its share changed soon counts no longer.
         */
        const val WINDOW_MICROSECONDS = 2_000_000L
        private const val BUCKET_MICROSECONDS = 100_000L

        /** Single refusals for other reasons than load do not make capacity scarce. */
        private const val SCARCE_RATIO = 1.05

        /** Sums over the fleet change little within this time. */
        private const val REFRESH_MICROSECONDS = 20_000L

        /** Identifies [team] in reports between routers. */
        fun teamHash(team: TeamId): Int = team.name.hashCode()
    }
}
