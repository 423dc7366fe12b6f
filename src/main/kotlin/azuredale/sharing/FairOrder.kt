package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.TeamId
import java.util.TreeSet

/**
 * Weighted fair queueing across the teams of one shard: the backlogged team with the lowest counter is served first.
 *
 * A team's counter is its virtual time, the cost charged to it divided by its share. All changes to a counter or to a
 * team's waiting requests must go through this class, which keeps the backlogged teams sorted by counter.
 */
internal class FairOrder {
    private val rows = HashMap<TeamId, TeamRow>()
    private val grantLevels = HashMap<Requirement, Double>()
    private val backlogged = TreeSet(compareBy<TeamRow> { it.counter }.thenBy { it.team.name })

    /**
     * Whether the counter of a team that becomes backlogged is raised to [startingCounter]; false while registrations
     * of routers are still being added up.
     */
    var raisesNewlyBacklogged: Boolean = true

    /** Backlogged teams, lowest counter first. */
    val backloggedTeams: Iterable<TeamRow> get() = backlogged

    val teams: Collection<TeamRow> get() = rows.values

    operator fun get(team: TeamId): TeamRow? = rows[team]

    fun row(team: TeamId, share: Double): TeamRow = rows.getOrPut(team) { TeamRow(team, share) }

    /** Adds [cost], divided by the share, to the team's counter; a negative cost corrects an earlier charge. */
    fun charge(row: TeamRow, cost: Double): Unit = update(row) { row.counter += cost / row.share }

    /** Applies [change] to [row]; raises the counter of a team that becomes backlogged: idle time earns no credit. */
    fun update(row: TeamRow, change: () -> Unit) {
        val wasBacklogged = row.isBacklogged
        if (wasBacklogged) backlogged.remove(row)
        change()
        if (!row.isBacklogged) return
        if (!wasBacklogged && raisesNewlyBacklogged) row.counter = maxOf(row.counter, startingCounter(row))
        backlogged.add(row)
    }

    /**
     * Records that a request of [row] with [requirement] is about to be granted.
     *
     * The grant level of a requirement is the highest counter at which such a request was granted. Corrections lower
     * counters, but never a grant level: otherwise teams that return one after another, each starting at the corrected
     * counter of its predecessor, would take service from a team that keeps waiting.
     */
    fun recordGrant(row: TeamRow, requirement: Requirement) {
        grantLevels.merge(requirement, row.counter, ::maxOf)
    }

    /** Sets the team's [share] from a new document; service already received stays counted at the old share. */
    fun updateShare(row: TeamRow, share: Double) {
        row.share = share
    }

    /** Raises every counter to at least [minimum], which cancels credit earned below it. */
    fun raiseAll(minimum: Double) {
        backlogged.clear()
        rows.values.forEach { it.counter = maxOf(it.counter, minimum) }
        rows.values.filterTo(backlogged) { it.isBacklogged }
    }

    /** Highest counter among backlogged teams, or among all teams when none is backlogged. */
    fun highestCounter(): Double = backlogged.lastOrNull()?.counter ?: rows.values.maxOfOrNull { it.counter } ?: 0.0

    /** Removes the grant levels of requirements for which [keep] does not hold. */
    fun retainGrantLevels(keep: (Requirement) -> Boolean) {
        grantLevels.keys.removeIf { !keep(it) }
    }

    /** Removes the rows of teams for which [keep] does not hold. */
    fun retain(keep: (TeamRow) -> Boolean) {
        backlogged.removeIf { !keep(it) }
        rows.values.removeIf { !keep(it) }
    }

    /**
     * Starting counter of a team that becomes backlogged: the lowest backlogged counter or, if higher, the lowest
     * grant level of the team's requirements. Without the latter, a team that waits for scarce servers would keep the
     * starting counter low for all others. When no team is backlogged, it is the highest counter of any team.
     */
    private fun startingCounter(row: TeamRow): Double {
        if (backlogged.isEmpty()) return rows.values.maxOfOrNull { it.counter } ?: 0.0
        val served = row.offersByRequirement.keys.minOfOrNull { grantLevels[it] ?: Double.NEGATIVE_INFINITY }
        return maxOf(backlogged.first().counter, served ?: Double.NEGATIVE_INFINITY)
    }
}
