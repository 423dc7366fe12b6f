package azuredale.sharing

import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** Offers of all teams that wait for a grant, by shard in order of time. */
internal class OutstandingOffers {
    private val rows = HashMap<ShardId, LinkedHashSet<QueuedRow>>()

    fun add(row: QueuedRow, shard: ShardId) {
        rows.getOrPut(shard) { LinkedHashSet() } += row
    }

    fun remove(row: QueuedRow, shard: ShardId) {
        rows[shard]?.remove(row)
    }

    fun of(shard: ShardId): Collection<QueuedRow> = rows[shard].orEmpty()

    /** Microseconds for which the oldest offer to [shard] has waited; zero when none waits. */
    fun age(shard: ShardId, now: Timestamp): Long =
        of(shard).firstOrNull()?.let { now.microsecondsSince(it.offeredAt) } ?: 0
}
