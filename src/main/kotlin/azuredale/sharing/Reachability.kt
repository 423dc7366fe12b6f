package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** Tracks which routers are unreachable, based on connection events and unanswered messages. */
internal class Reachability {
    private val lostAt = HashMap<RouterId, Timestamp>()

    fun lost(router: RouterId, now: Timestamp) {
        lostAt.putIfAbsent(router, now)
    }

    fun reached(router: RouterId) {
        lostAt.remove(router)
    }

    /** Whether [router] has been unreachable for at least [milliseconds]. */
    fun isLost(router: RouterId, milliseconds: Long, now: Timestamp): Boolean =
        lostAt[router]?.let { it.plusMilliseconds(milliseconds) <= now } ?: false

    fun retain(routers: Set<RouterId>) {
        lostAt.keys.retainAll(routers)
    }
}
