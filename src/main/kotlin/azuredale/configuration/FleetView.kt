package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.time.Timestamp

/**
 * The members of the fleet as known to this node.
 *
 * The failure detector is too slow to tell whether this node is connected with a majority: in a trial with 390 routers,
 * a partitioned region of 156 still listed a majority as alive after 8 s. Members are therefore polled directly.
 *
 * A member that disappears counts towards the fleet size for [MEMBER_EXPIRY_MICROSECONDS] and until a poll reaches a
 * majority. Otherwise, the list of an isolated minority would shrink, one failed member at a time, until it was a
 * majority.
 *
 * @property known members of the fleet, excluding this node.
 * @property alive other members that are alive.
 * @property reachable other members that are alive or suspected. These are polled.
 * @property pollers other members that poll the fleet while the service does not respond.
 */
internal data class FleetView(
    val known: Map<RouterId, MemberTimes> = emptyMap(),
    val alive: Set<RouterId> = emptySet(),
    val reachable: Set<RouterId> = emptySet(),
    val pollers: Set<RouterId> = emptySet(),
) {
    /** Times when a member was first listed and last seen alive. */
    data class MemberTimes(
        val firstListedAt: Timestamp,
        val lastAliveAt: Timestamp,
    )

    fun withMembers(members: List<Member>, self: RouterId, now: Timestamp): FleetView {
        val others = members.filter { it.router != self }
        val left = others.filter { it.state == MemberState.LEFT }.map { it.router }.toSet()
        val alive = others.filter { it.state == MemberState.ALIVE }.map { it.router }.toSet()
        val suspected = others.filter { it.state == MemberState.SUSPECT }.map { it.router }
        val listed =
            others.map { it.router }.associateWith { router ->
                val earlier = known[router]
                MemberTimes(
                    earlier?.firstListedAt ?: now,
                    if (earlier == null || router in alive) now else earlier.lastAliveAt,
                )
            }
        return FleetView(known + listed - left, alive, alive + suspected, pollers)
    }

    /**
     * Whether [count] members, this node included, are more than half of a fleet of at least [minimumSize].
     *
     * Returns false while the list grows fast, because a node that has just started knows only part of a large fleet.
     */
    fun isMajority(count: Int, minimumSize: Int, now: Timestamp): Boolean {
        if (count * 2 <= maxOf(known.size + 1, minimumSize)) return false
        val recent = known.values.count { now.microsecondsSince(it.firstListedAt) < MEMBER_SYNC_MICROSECONDS }
        return recent <= maxOf(JOINING_MEMBERS, (known.size - recent) / JOINING_DIVISOR)
    }

    /** Whether a member has been gone so long that a poll should be started to remove it. */
    fun hasExpiredMembers(now: Timestamp): Boolean = known.any { isExpired(it.key, it.value, now) }

    /** Removes members that have been gone for long. To be called when a poll has reached a majority. */
    fun withoutExpiredMembers(now: Timestamp): FleetView =
        copy(known = known.filterNot { isExpired(it.key, it.value, now) })

    private fun isExpired(router: RouterId, times: MemberTimes, now: Timestamp): Boolean =
        router !in alive && now.microsecondsSince(times.lastAliveAt) > MEMBER_EXPIRY_MICROSECONDS

    companion object {
        const val MEMBER_EXPIRY_MICROSECONDS = 600_000_000L

        /** A router receives the member table in parts during the first seconds after its start. */
        const val MEMBER_SYNC_MICROSECONDS = 10_000_000L

        /** Two members, or a tenth of the fleet, may join at a time without suspending the majority. */
        const val JOINING_MEMBERS = 2
        const val JOINING_DIVISOR = 10
    }
}
