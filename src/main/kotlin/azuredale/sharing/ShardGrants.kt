package azuredale.sharing

import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/**
 * An active grant, as recorded by the allotter.
 *
 * @property estimate cost charged at grant time; the charge does not fall below it before settlement.
 * @property charged cost charged so far.
 * @property reportedAt time of the router's last report on the grant.
 */
internal class GrantRow(
    val key: GrantKey,
    val shard: ShardId,
    val team: TeamId,
    val server: ServerId,
    val hint: Double?,
    val estimate: Double,
    var charged: Double,
    val grantedAt: Timestamp,
    var reportedAt: Timestamp,
)

/** Active grants of one shard; keeps slot occupancy and team charges consistent with them. */
internal class ShardGrants(
    private val tables: AllotterTables,
    private val order: FairOrder,
) {
    private val byRouter = HashMap<RouterId, LinkedHashMap<GrantKey, GrantRow>>()

    var size: Int = 0
        private set

    val rows: Sequence<GrantRow> get() = byRouter.values.asSequence().flatMap { it.values }

    operator fun get(key: GrantKey): GrantRow? = byRouter[key.router]?.get(key)

    fun ofRouter(router: RouterId): List<GrantRow> = byRouter[router]?.values?.toList().orEmpty()

    fun hasGrants(router: RouterId): Boolean = router in byRouter

    /** Records a grant, occupies its slot and charges the team; returns false when the grants table is full. */
    fun open(row: GrantRow, team: TeamRow): Boolean {
        if (!tables.grants.put(row.key, row)) return false
        byRouter.getOrPut(row.key.router) { LinkedHashMap() }[row.key] = row
        size++
        team.running++
        tables.servers[row.server]?.occupy()
        order.charge(team, row.charged)
        return true
    }

    /** Updates the charge to [cost], but not below the estimate. */
    fun update(row: GrantRow, cost: Double, now: Timestamp) {
        row.reportedAt = now
        adjustCharge(row, maxOf(row.estimate, cost))
    }

    /** Removes a grant, frees its slot and sets its final charge to [cost]. */
    fun close(row: GrantRow, cost: Double) {
        adjustCharge(row, cost)
        tables.grants.remove(row.key)
        val own = byRouter[row.key.router]
        own?.remove(row.key)
        if (own?.isEmpty() == true) byRouter.remove(row.key.router)
        size--
        order[row.team]?.let { it.running-- }
        tables.servers[row.server]?.release()
    }

    private fun adjustCharge(row: GrantRow, charge: Double) {
        order[row.team]?.let { order.charge(it, charge - row.charged) }
        row.charged = charge
    }
}
