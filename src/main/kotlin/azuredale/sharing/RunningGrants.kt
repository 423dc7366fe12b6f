package azuredale.sharing

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.GrantProgress
import azuredale.protocol.RunningGrant
import azuredale.protocol.ServedCounter
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/**
 * A grant in use at this router.
 *
 * @property estimate this router's cost estimate; the allotter has charged approximately this much at grant time.
 */
internal class RunningRow(
    val request: QueuedRequest,
    var shard: ShardId,
    val server: ServerId,
    val isReserve: Boolean,
    val estimate: Double,
    val startedAt: Timestamp,
) {
    var cost: Double = 0.0
    var reportedCost: Double = 0.0
    var reportedAt: Timestamp = startedAt

    /** Whether to report the cost: it has outgrown the charge by a factor, or the last report is too old. */
    fun isReportDue(settings: SharingSettings, now: Timestamp): Boolean =
        cost >= maxOf(estimate, reportedCost) * settings.progressGrowth ||
            now >= reportedAt.plusMilliseconds(settings.progressKeepAliveMilliseconds)
}

/** Key of a served counter. */
internal data class ServedKey(
    val shard: ShardId,
    val team: TeamId,
)

/** Grants in use at this router, and the service delivered since its process started. */
internal class RunningGrants {
    val table = Table<RequestNumber, RunningRow>("running grants", OWNER, RUNNING_ROWS, LockRank.GRANTS)
    val served = Table<ServedKey, Double>("served counters", OWNER, SERVED_ROWS, LockRank.SERVED_COUNTERS)

    operator fun get(number: RequestNumber): RunningRow? = table[number]

    fun start(row: RunningRow): Boolean = table.put(row.request.number, row)

    /** Ends a grant and adds its final [cost] to the served counter. */
    fun settle(number: RequestNumber, cost: Double): RunningRow? {
        val row = table.remove(number) ?: return null
        val key = ServedKey(row.shard, row.request.team)
        served.put(key, (served[key] ?: 0.0) + cost)
        return row
    }

    /** Reassigns grants to the shards that now hold their servers. */
    fun reshard(shardMap: ShardMap): Unit =
        table.entries.values.forEach { row -> shardMap.shardOf(row.server)?.let { row.shard = it } }

    fun ofShard(shard: ShardId): List<RunningRow> = table.entries.values.filter { it.shard == shard }

    fun running(shard: ShardId): List<RunningGrant> =
        ofShard(shard).map { RunningGrant(it.request.number, it.request.team, it.server, it.cost) }

    fun counters(shard: ShardId): List<ServedCounter> =
        served.entries.filterKeys { it.shard == shard }.map { ServedCounter(it.key.team, it.value) }

    /** Progress reports due for the allotter of [shard]; marks them as sent. */
    fun progress(shard: ShardId, settings: SharingSettings, now: Timestamp): List<GrantProgress> =
        ofShard(shard).filter { it.isReportDue(settings, now) }.map { row ->
            row.reportedCost = row.cost
            row.reportedAt = now
            GrantProgress(row.request.number, row.cost)
        }

    private companion object {
        const val OWNER = "RequesterController"
        const val RUNNING_ROWS = 8_192
        const val SERVED_ROWS = 131_072
    }
}
