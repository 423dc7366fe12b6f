package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** Tracks which routers are unreachable, based on connection events and unanswered messages. */
internal class Reachability {
    private val unreachableSince = HashMap<RouterId, Timestamp>()

    fun markUnreachable(router: RouterId, now: Timestamp) {
        unreachableSince.putIfAbsent(router, now)
    }

    fun markReachable(router: RouterId) {
        unreachableSince.remove(router)
    }

    /** Whether [router] has been unreachable for at least [milliseconds]. */
    fun isUnreachable(router: RouterId, milliseconds: Long, now: Timestamp): Boolean =
        unreachableSince[router]?.let { it.plusMilliseconds(milliseconds) <= now } ?: false

    fun retain(routers: Set<RouterId>) {
        unreachableSince.keys.retainAll(routers)
    }
}
