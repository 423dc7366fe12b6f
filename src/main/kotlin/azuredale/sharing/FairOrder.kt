package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.TeamId
import java.util.TreeSet

/**
 * Weighted fair queueing order of the teams of one shard.
 *
 * Every change of a counter or of a team's waiting requests goes through this class, which keeps the backlogged teams
 * sorted by counter.
 */
internal class FairOrder {
    private val rows = HashMap<TeamId, TeamRow>()
    private val levels = HashMap<Requirement, Double>()
    private val backlogged = TreeSet(compareBy<TeamRow> { it.counter }.thenBy { it.team.name })

    /** Whether returning teams are raised; false while counters of several routers are still being summed. */
    var raisesReturning: Boolean = true

    /** Backlogged teams, lowest counter first. */
    val inOrder: Iterable<TeamRow> get() = backlogged

    val teams: Collection<TeamRow> get() = rows.values

    operator fun get(team: TeamId): TeamRow? = rows[team]

    fun row(team: TeamId, share: Double): TeamRow = rows.getOrPut(team) { TeamRow(team, share) }

    /** Adds [cost] to the team's counter; a negative cost corrects an earlier charge. */
    fun charge(row: TeamRow, cost: Double): Unit = update(row) { row.counter += cost / row.share }

    /** Runs [change] on [row]; a team that becomes backlogged is raised, so that idle time earns no credit. */
    fun update(row: TeamRow, change: () -> Unit) {
        val wasBacklogged = row.isBacklogged
        if (wasBacklogged) backlogged.remove(row)
        change()
        if (!row.isBacklogged) return
        if (!wasBacklogged && raisesReturning) row.counter = maxOf(row.counter, levelFor(row))
        backlogged.add(row)
    }

    /**
     * Records that a request with [requirement] is about to be granted to [row].
     *
     * A level never falls, although corrections lower counters: otherwise teams that return one after the other, each
     * at the corrected counter of the one before, would take service from a team that waits.
     */
    fun granting(row: TeamRow, requirement: Requirement) {
        levels.merge(requirement, row.counter, ::maxOf)
    }

    /** Adopts the team's [share] of a new document; service before it stays counted at the old share. */
    fun reweigh(row: TeamRow, share: Double) {
        row.share = share
    }

    /** Raises every team to at least [level], so that no credit from before it remains. */
    fun raiseAll(level: Double) {
        backlogged.clear()
        rows.values.forEach { it.counter = maxOf(it.counter, level) }
        rows.values.filterTo(backlogged) { it.isBacklogged }
    }

    /** Highest counter among backlogged teams, or among all when none is backlogged. */
    fun highest(): Double = backlogged.lastOrNull()?.counter ?: rows.values.maxOfOrNull { it.counter } ?: 0.0

    /** Removes the levels of requirements for which [keep] does not hold. */
    fun retainLevels(keep: (Requirement) -> Boolean) {
        levels.keys.removeIf { !keep(it) }
    }

    /** Removes the rows of teams for which [keep] does not hold. */
    fun retain(keep: (TeamRow) -> Boolean) {
        backlogged.removeIf { !keep(it) }
        rows.values.removeIf { !keep(it) }
    }

    /**
     * Where a returning team starts: at the lowest backlogged counter, or at the counter of the team last served among
     * those that need the same of a server, if that is higher. The second part keeps a team that waits for rare servers
     * from holding the level down for all. With no team backlogged it is the highest counter, since nobody has a claim.
     */
    private fun levelFor(row: TeamRow): Double {
        if (backlogged.isEmpty()) return rows.values.maxOfOrNull { it.counter } ?: 0.0
        val served = row.classes.keys.minOfOrNull { levels[it] ?: Double.NEGATIVE_INFINITY }
        return maxOf(backlogged.first().counter, served ?: Double.NEGATIVE_INFINITY)
    }
}
