package azuredale.sharing

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** A router as the allotter of one shard sees it. */
internal class RouterRow(val router: RouterId) {
    var incarnation: Incarnation? = null

    /** Whether the allotter's state of this router is complete; offers of others are not granted. */
    var isRegistered: Boolean = false

    /** An unanswered request for registration is repeated at this time. */
    var askAgainAt: Timestamp = Timestamp.DISTANT_PAST

    /** Time since which the router is no member; the row is dropped later. */
    var goneSince: Timestamp? = null

    /** Part of the router's served counters that the teams' counters already contain. */
    val accounted = HashMap<TeamId, Double>()

    fun account(team: TeamId, cost: Double) {
        accounted.merge(team, cost, Double::plus)
    }

    /** Starts over for a new process of the router; its served counters begin at zero. */
    fun adopt(started: Incarnation) {
        if (incarnation == started) return
        incarnation = started
        accounted.clear()
    }
}
