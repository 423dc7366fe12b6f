package azuredale.sharing

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** State of a router at the allotter of one shard. */
internal class RouterRow(val router: RouterId) {
    var incarnation: Incarnation? = null

    /** Whether the allotter has this router's complete state; only registered routers receive grants. */
    var isRegistered: Boolean = false

    /** Earliest time to repeat an unanswered registration request. */
    var nextRequestAt: Timestamp = Timestamp.DISTANT_PAST

    /** Time at which the router stopped being a member; the row is dropped after a retention period. */
    var goneSince: Timestamp? = null

    /** Part of the router's served counters that is already included in the teams' counters. */
    val chargedService = HashMap<TeamId, Double>()

    fun addChargedService(team: TeamId, cost: Double) {
        chargedService.merge(team, cost, Double::plus)
    }

    /** Resets the state for a new process of the router, whose served counters start at zero. */
    fun startIncarnation(started: Incarnation) {
        if (incarnation == started) return
        incarnation = started
        chargedService.clear()
    }
}
