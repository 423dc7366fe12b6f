package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.time.Timestamp

/**
 * Who belongs to the fleet.
 *
 * The failure detector cannot tell in time whether this node has a majority: in a trial with 390 routers, a region of
 * 156 that was cut off still saw a majority alive after 8 s. So members are asked directly and the answers counted.
 *
 * A member that disappears is counted for [FORGET_MICROSECONDS] and until a poll reaches a majority. Otherwise a
 * minority whose members fail one after another would shrink its own idea of the fleet until it held a majority of it.
 *
 * @property known members of the fleet without this node.
 * @property alive other members that are alive.
 * @property reachable other members that are alive or suspected; they are polled.
 * @property counters other members that poll the fleet when the service is silent.
 */
internal data class FleetView(
    val known: Map<RouterId, Sighting> = emptyMap(),
    val alive: Set<RouterId> = emptySet(),
    val reachable: Set<RouterId> = emptySet(),
    val counters: Set<RouterId> = emptySet(),
) {
    /** When a member was first listed and last alive. */
    data class Sighting(
        val firstAt: Timestamp,
        val lastAt: Timestamp,
    )

    fun withMembers(members: List<Member>, self: RouterId, now: Timestamp): FleetView {
        val others = members.filter { it.router != self }
        val left = others.filter { it.state == MemberState.LEFT }.map { it.router }.toSet()
        val alive = others.filter { it.state == MemberState.ALIVE }.map { it.router }.toSet()
        val suspected = others.filter { it.state == MemberState.SUSPECT }.map { it.router }
        val seen =
            others.map { it.router }.associateWith { router ->
                val earlier = known[router]
                Sighting(earlier?.firstAt ?: now, if (earlier == null || router in alive) now else earlier.lastAt)
            }
        return FleetView(known + seen - left, alive, alive + suspected, counters)
    }

    /**
     * Whether [count] members, this node included, are more than half of a fleet of at least [minimumSize].
     *
     * Never while the list still grows fast: a node that has just started knows only a part of a large fleet.
     */
    fun isMajority(count: Int, minimumSize: Int, now: Timestamp): Boolean {
        if (count * 2 <= maxOf(known.size + 1, minimumSize)) return false
        val recent = known.values.count { now.microsecondsSince(it.firstAt) < SETTLE_MICROSECONDS }
        return recent <= maxOf(JOINING_MEMBERS, (known.size - recent) / JOINING_DIVISOR)
    }

    /** Whether a member has been gone for so long that a poll should be made to forget it. */
    fun hasForgettable(now: Timestamp): Boolean = known.any { isForgettable(it.key, it.value, now) }

    /** Forgets members that have long been gone; to be called when a poll has reached a majority. */
    fun forgetting(now: Timestamp): FleetView = copy(known = known.filterNot { isForgettable(it.key, it.value, now) })

    private fun isForgettable(router: RouterId, sighting: Sighting, now: Timestamp): Boolean =
        router !in alive && now.microsecondsSince(sighting.lastAt) > FORGET_MICROSECONDS

    companion object {
        const val FORGET_MICROSECONDS = 600_000_000L

        /** A router receives pieces of the member table for several seconds after its start. */
        const val SETTLE_MICROSECONDS = 10_000_000L

        /** Joins that do not delay a majority: two, or a tenth of the fleet. */
        const val JOINING_MEMBERS = 2
        const val JOINING_DIVISOR = 10
    }
}
