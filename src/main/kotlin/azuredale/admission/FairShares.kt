package azuredale.admission

import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * Usage of all teams within the window, summed over all routers, and the share that each of them may have.
 *
 * @property usage usage by team, given by the hash of its name.
 * @property capacity tokens granted to all teams.
 * @property fairShare tokens up to which a team's demand is covered; positive infinity if all demands are.
 */
internal class ShareSnapshot(val usage: Map<Int, TokenUsage>) {
    val capacity: Long = usage.values.sumOf { it.granted }
    val fairShare: Double = MaxMinFairShare.compute(usage.values.map { it.requested }, capacity)

    /** Usage of [team]. */
    fun usageOf(team: TeamId): TokenUsage = usage[TeamUsage.teamHash(team)] ?: TokenUsage.NONE

    /**
     * Largest difference in granted tokens between two teams that requested more than the fair share, as a fraction of
     * the fair share; 0 while no two teams contend.
     */
    val gap: Double
        get() {
            val contending = usage.values.filter { it.requested > fairShare }.map { it.granted }
            return if (contending.size < 2 || fairShare <= 0.0) {
                0.0
            } else {
                (contending.max() - contending.min()) / fairShare
            }
        }
}

/** Keeps the current [ShareSnapshot], which is computed anew only when the usage of the fleet has changed. */
internal class FairShares(private val usage: TeamUsage) {
    private var snapshot = ShareSnapshot(emptyMap())

    /** The shares at [now]. */
    fun current(now: Timestamp): ShareSnapshot {
        val fleet = usage.fleetUsage(now)
        if (fleet !== snapshot.usage) snapshot = ShareSnapshot(fleet)
        return snapshot
    }
}
