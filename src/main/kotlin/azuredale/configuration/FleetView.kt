package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.time.Timestamp

/**
 * Who belongs to the fleet and who answered the last poll.
 *
 * The failure detector cannot tell in time whether this node has a majority: in a trial with 390 routers, a region of
 * 156 that was cut off still saw a majority alive after 8 s. So members are asked directly and the answers counted.
 *
 * A member that disappears is counted for [FORGET_MICROSECONDS] and until a poll reaches a majority. Otherwise a
 * minority whose members fail one after another would shrink its own idea of the fleet until it held a majority of it.
 *
 * @property known members of the fleet with the time at which they were last seen alive, without this node.
 * @property alive other members that are alive.
 * @property reachable other members that are alive or suspected; they are polled.
 */
internal data class FleetView(
    val known: Map<RouterId, Timestamp> = emptyMap(),
    val alive: Set<RouterId> = emptySet(),
    val reachable: Set<RouterId> = emptySet(),
) {
    fun withMembers(members: List<Member>, self: RouterId, now: Timestamp): FleetView {
        val others = members.filter { it.router != self }
        val left = others.filter { it.state == MemberState.LEFT }.map { it.router }.toSet()
        val alive = others.filter { it.state == MemberState.ALIVE }.map { it.router }.toSet()
        val suspected = others.filter { it.state == MemberState.SUSPECT }.map { it.router }
        val listed = others.map { it.router }.filter { it !in known }.associateWith { now }
        return FleetView(known + listed + alive.associateWith { now } - left, alive, alive + suspected)
    }

    /** Whether [count] members, this node included, are more than half of a fleet of at least [minimumSize]. */
    fun isMajority(count: Int, minimumSize: Int): Boolean = count * 2 > maxOf(known.size + 1, minimumSize)

    /** Whether a member has been gone for so long that a poll should be made to forget it. */
    fun hasForgettable(now: Timestamp): Boolean = known.any { isForgettable(it.key, it.value, now) }

    /** Forgets members that have long been gone; to be called when a poll has reached a majority. */
    fun forgetting(now: Timestamp): FleetView = copy(known = known.filterNot { isForgettable(it.key, it.value, now) })

    private fun isForgettable(router: RouterId, seenAt: Timestamp, now: Timestamp): Boolean =
        router !in alive && now.microsecondsSince(seenAt) > FORGET_MICROSECONDS

    companion object {
        const val FORGET_MICROSECONDS = 600_000_000L
    }
}
