package azuredale.admission

import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * What one admitted request of [team] is charged: its tokens are owed until it begins at a server, and are given back
 * if it ends before that.
 */
internal class ShareCharge(
    private val usage: TeamUsage,
    private val team: TeamId,
    private val tokens: Int,
) {
    private var isOwed = false

    /** Records that the request was admitted. */
    fun admitted() {
        if (isOwed) return
        isOwed = true
        usage.recordOwed(team, tokens)
    }

    /** Records that a server began the request. */
    fun begun(now: Timestamp) {
        if (!isOwed) return
        release()
        usage.recordGranted(team, tokens, now)
    }

    /** Gives the tokens back unless the request has begun. */
    fun release() {
        if (!isOwed) return
        isOwed = false
        usage.recordSettled(team, tokens)
    }
}
