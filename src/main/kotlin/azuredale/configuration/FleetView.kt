package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.time.Timestamp

/**
 * Which part of the fleet this node is connected with.
 *
 * A member that disappears is counted as part of the fleet for [FORGET_MICROSECONDS], and longer while this node has no
 * majority. Otherwise a minority whose members fail one after another would shrink its own idea of the fleet until it
 * held a majority of it.
 *
 * @property known members of the fleet with the time at which they were last connected, this node included.
 * @property connected members that are alive, this node included.
 * @property heardAt when a datagram of any other member last arrived.
 * @property majoritySince since when this node has been connected with a majority without a break, or null.
 */
internal data class FleetView(
    val self: RouterId,
    val known: Map<RouterId, Timestamp> = emptyMap(),
    val connected: Set<RouterId> = setOf(self),
    val heardAt: Timestamp = Timestamp.DISTANT_PAST,
    val majoritySince: Timestamp? = null,
) {
    /** Other members that are alive. */
    val peers: Set<RouterId> get() = connected - self

    fun withMembers(members: List<Member>, now: Timestamp): FleetView {
        val left = members.filter { it.state == MemberState.LEFT }.map { it.router }.toSet() - self
        val alive = members.filter { it.state == MemberState.ALIVE }.map { it.router }.toSet() + self
        val listed = members.map { it.router }.filter { it !in known }.associateWith { now }
        val seen = alive.associateWith { now }
        return copy(known = known + listed + seen - left, connected = alive)
    }

    fun heard(now: Timestamp): FleetView = copy(heardAt = maxOf(heardAt, now))

    /** Updates [majoritySince] and forgets members that have long been gone. */
    fun observed(now: Timestamp, minimumSize: Int): FleetView {
        if (!hasMajority(now, minimumSize)) return if (majoritySince == null) this else copy(majoritySince = null)
        val isRemembered = { router: RouterId, last: Timestamp ->
            router in connected || now.microsecondsSince(last) <= FORGET_MICROSECONDS
        }
        val isStale = known.any { (router, last) -> !isRemembered(router, last) }
        val remembered = if (isStale) known.filter { (router, last) -> isRemembered(router, last) } else known
        return copy(majoritySince = majoritySince ?: now, known = remembered)
    }

    /**
     * Whether this node is connected with more than half of the fleet, of which at least [minimumSize] are expected.
     *
     * The failure detector needs several periods to suspect a whole fleet, so a node that hears nobody is not connected
     * whatever the member states are.
     */
    fun hasMajority(now: Timestamp, minimumSize: Int): Boolean {
        val size = maxOf((known.keys + self).size, minimumSize)
        val isHearing = size == 1 || now.microsecondsSince(heardAt) <= HEARD_MICROSECONDS
        return isHearing && connected.size * 2 > size
    }

    companion object {
        const val HEARD_MICROSECONDS = 1_000_000L
        const val FORGET_MICROSECONDS = 600_000_000L
    }
}
