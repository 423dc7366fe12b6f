package azuredale.admission

import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** Tokens that a team asked for and was given within the window. */
internal data class Usage(
    val asked: Long = 0,
    val given: Long = 0,
) {
    operator fun plus(other: Usage): Usage = Usage(asked + other.asked, given + other.given)
}

/**
 * Tokens of each team over a sliding window, at this router and, by their reports, at the others.
 *
 * Teams are known by a short number in reports; equal names have equal numbers on every router.
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

    /** Notes that [team] asked for [tokens]. */
    fun asked(team: TeamId, tokens: Int, now: Timestamp) = add(team, Usage(asked = tokens.toLong()), now)

    /** Notes that [team] was given [tokens]. */
    fun given(team: TeamId, tokens: Int, now: Timestamp) = add(team, Usage(given = tokens.toLong()), now)

    /** This router's part, for reports. */
    fun own(now: Timestamp): Map<Int, Usage> {
        trim(now)
        val sums = HashMap<Int, Usage>()
        buckets.forEach { bucket -> bucket.usage.forEach { (team, usage) -> sums.merge(team, usage, Usage::plus) } }
        return sums
    }

    /** Replaces what [router] reported; it counts until [validUntil]. */
    fun reported(router: RouterId, usage: Map<Int, Usage>, validUntil: Timestamp) {
        peers[router] = Reported(usage, validUntil)
    }

    /** Tokens of all teams at all routers. */
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
        /** Long enough to even out single requests, short enough to follow a team that begins to flood. */
        const val WINDOW_MICROSECONDS = 4_000_000L
        private const val BUCKET_MICROSECONDS = 250_000L

        /** Sums over the fleet change slowly against this. */
        private const val REFRESH_MICROSECONDS = 20_000L

        /** The number of [team] in reports. */
        fun number(team: TeamId): Int = team.name.hashCode()
    }
}
