package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp
import java.util.TreeMap

/** A request waiting at this router; [arrival] orders the requests of one team. */
internal class QueuedRow(
    val request: QueuedRequest,
    val arrival: Long,
) {
    /** The shard to whose allotter the request is offered; null when it is not offered. */
    var offeredTo: ShardId? = null

    /** Time at which the request was offered to [offeredTo]. */
    var offeredAt: Timestamp = Timestamp.DISTANT_PAST

    /** Time at which the offer was last sent. */
    var sentAt: Timestamp = Timestamp.DISTANT_PAST

    /** Number of times the offer was moved to another shard. */
    var moves: Int = 0

    /** Time before which the request is not offered, because its last grant could not be used. */
    var heldUntil: Timestamp = Timestamp.DISTANT_PAST

    var isRemoved: Boolean = false
}

/** Requests of one team for one pool waiting at this router; a bounded part of them is offered to allotters. */
internal class TeamQueue(
    val team: TeamId,
    val pool: PoolId,
    private val outstanding: OutstandingOffers,
) {
    private val unoffered = LinkedHashMap<Requirement, TreeMap<Long, QueuedRow>>()
    private val offered = HashMap<ShardId, LinkedHashMap<RequestNumber, QueuedRow>>()

    /** Shards whose allotter was last told that more requests wait than are offered. */
    val reportedUnoffered = HashMap<ShardId, Boolean>()

    val isEmpty: Boolean get() = unoffered.isEmpty() && offered.isEmpty()

    val rows: List<QueuedRow> get() = (unoffered.values.flatMap { it.values } + offered.values.flatMap { it.values })

    fun add(row: QueuedRow) {
        unoffered.getOrPut(row.request.requirement) { TreeMap() }[row.arrival] = row
    }

    fun remove(row: QueuedRow) {
        cancelOffer(row)
        val queue = unoffered[row.request.requirement] ?: return
        queue.remove(row.arrival)
        if (queue.isEmpty()) unoffered.remove(row.request.requirement)
    }

    fun offer(row: QueuedRow, shard: ShardId, now: Timestamp) {
        remove(row)
        offered.getOrPut(shard) { LinkedHashMap() }[row.request.number] = row
        row.offeredTo = shard
        row.offeredAt = now
        row.sentAt = now
        outstanding.add(row, shard)
    }

    /** Cancels the offer of [row], which stays in the queue. */
    fun cancelOffer(row: QueuedRow) {
        val shard = row.offeredTo ?: return
        outstanding.remove(row, shard)
        val offers = offered[shard]
        offers?.remove(row.request.number)
        if (offers?.isEmpty() == true) offered.remove(shard)
        row.offeredTo = null
        add(row)
    }

    /** Cancels all offers to [shard]; the requests stay in the queue. */
    fun cancelOffers(shard: ShardId) {
        offered[shard]?.values?.toList()?.forEach(::cancelOffer)
        reportedUnoffered.remove(shard)
    }

    fun offeredTo(shard: ShardId): Collection<QueuedRow> = offered[shard]?.values.orEmpty()

    /** Number of waiting requests that are not offered and satisfy [isEligible]. */
    fun unofferedCount(isEligible: (Requirement) -> Boolean): Int =
        unoffered.entries.sumOf { if (isEligible(it.key)) it.value.size else 0 }

    /**
     * The next request to offer: the oldest one of the requirement with the fewest offers. This prevents head-of-line
     * blocking of requests for an idle model by requests for a busy one.
     */
    fun next(now: Timestamp, isOpen: (Requirement) -> Boolean): QueuedRow? = unoffered.keys
        .filter(isOpen)
        .mapNotNull { requirement -> firstReady(requirement, now) }
        .minWithOrNull(compareBy<QueuedRow> { offeredCount(it.request.requirement) }.thenBy { it.arrival })

    /** The oldest request of each requirement without an offer. */
    fun oldestWithoutOffer(now: Timestamp): List<QueuedRow> =
        unoffered.keys.filter { offeredCount(it) == 0 }.mapNotNull { firstReady(it, now) }

    /** The newest request offered to [shard] of the requirement with most offers there, if it has more than one. */
    fun redundantOffer(shard: ShardId): QueuedRow? = offeredTo(shard)
        .groupBy { it.request.requirement }
        .values
        .filter { it.size > 1 }
        .maxByOrNull { it.size }
        ?.maxByOrNull { it.arrival }

    private fun firstReady(requirement: Requirement, now: Timestamp): QueuedRow? =
        unoffered[requirement]?.values?.firstOrNull { it.heldUntil <= now }

    private fun offeredCount(requirement: Requirement): Int =
        offered.values.sumOf { offers -> offers.values.count { it.request.requirement == requirement } }
}
