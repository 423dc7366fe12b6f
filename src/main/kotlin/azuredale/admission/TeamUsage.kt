package azuredale.admission

import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** Tokens that a team requested and was granted within the window. */
internal data class Usage(
    val asked: Long = 0,
    val given: Long = 0,
) {
    operator fun plus(other: Usage): Usage = Usage(asked + other.asked, given + other.given)
}

/**
 * Token usage per team over a sliding window: measured at this router, and reported by the other routers.
 *
 * Teams are identified by a hash of their name, which is the same on every router and keeps reports short.
 */
internal class TeamUsage {
    private class Bucket(val start: Timestamp) {
        val usage = HashMap<Int, Usage>()
    }

    private class Reported(
        val usage: Map<Int, Usage>,
        val validUntil: Timestamp,
    )

    private val buckets = ArrayDeque<Bucket>()
    private val peers = HashMap<RouterId, Reported>()
    private var fleet: Map<Int, Usage> = emptyMap()
    private var fleetAt = Timestamp.DISTANT_PAST

    /** Records that [team] requested [tokens]. */
    fun asked(team: TeamId, tokens: Int, now: Timestamp) = add(team, Usage(asked = tokens.toLong()), now)

    /** Records that [team] was granted [tokens]. */
    fun given(team: TeamId, tokens: Int, now: Timestamp) = add(team, Usage(given = tokens.toLong()), now)

    /** Usage at this router, for reports to other routers. */
    fun own(now: Timestamp): Map<Int, Usage> {
        trim(now)
        val sums = HashMap<Int, Usage>()
        buckets.forEach { bucket -> bucket.usage.forEach { (team, usage) -> sums.merge(team, usage, Usage::plus) } }
        return sums
    }

    /** Replaces the usage reported by [router], which expires at [validUntil]. */
    fun reported(router: RouterId, usage: Map<Int, Usage>, validUntil: Timestamp) {
        peers[router] = Reported(usage, validUntil)
    }

    /** Usage of all teams summed over all routers; cached for a short time. */
    fun fleet(now: Timestamp): Map<Int, Usage> {
        if (now.microsecondsSince(fleetAt) < REFRESH_MICROSECONDS) return fleet
        val sums = HashMap(own(now))
        peers.values.removeIf { it.validUntil < now }
        peers.values.forEach { peer -> peer.usage.forEach { (team, usage) -> sums.merge(team, usage, Usage::plus) } }
        fleet = sums
        fleetAt = now
        return sums
    }

    private fun add(team: TeamId, usage: Usage, now: Timestamp) {
        val newest = buckets.lastOrNull()
        val bucket =
            if (newest == null || now.microsecondsSince(newest.start) >= BUCKET_MICROSECONDS) {
                trim(now)
                Bucket(now).also { buckets.addLast(it) }
            } else {
                newest
            }
        bucket.usage.merge(number(team), usage, Usage::plus)
    }

    private fun trim(now: Timestamp) {
        while (buckets.isNotEmpty() && now.microsecondsSince(buckets.first().start) > WINDOW_MICROSECONDS) {
            buckets.removeFirst()
        }
    }

    companion object {
        /** Long enough to smooth over single requests, short enough to react when a team starts to flood. */
        const val WINDOW_MICROSECONDS = 4_000_000L
        private const val BUCKET_MICROSECONDS = 250_000L

        /** Sums over the fleet change little within this time. */
        private const val REFRESH_MICROSECONDS = 20_000L

        /** Identifies [team] in reports between routers. */
        fun number(team: TeamId): Int = team.name.hashCode()
    }
}
