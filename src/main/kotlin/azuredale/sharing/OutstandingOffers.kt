package azuredale.sharing

import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** This router's offers of all teams that are waiting for a grant, by shard, oldest first. */
internal class OutstandingOffers {
    private val rows = HashMap<ShardId, LinkedHashSet<QueuedRow>>()

    fun add(row: QueuedRow, shard: ShardId) {
        rows.getOrPut(shard) { LinkedHashSet() } += row
    }

    fun remove(row: QueuedRow, shard: ShardId) {
        rows[shard]?.remove(row)
    }

    fun offersTo(shard: ShardId): Collection<QueuedRow> = rows[shard].orEmpty()

    /** Age in microseconds of the oldest outstanding offer to [shard]; zero when there is none. */
    fun oldestAge(shard: ShardId, now: Timestamp): Long =
        offersTo(shard).firstOrNull()?.let { now.microsecondsSince(it.offeredAt) } ?: 0
}
