package azuredale.sharing

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import java.util.PriorityQueue

/** Requests of this router's callers that are waiting for a grant, bounded per team and in total. */
internal class LocalQueue(private val settings: SharingSettings) {
    private data class QueueKey(
        val team: TeamId,
        val pool: PoolId,
    )

    val table =
        Table<RequestNumber, QueuedRow>(
            "local queue",
            "RequesterController",
            settings.queueTotal,
            LockRank.LOCAL_QUEUE,
        )
    val outstanding = OutstandingOffers()
    private val queues = LinkedHashMap<QueueKey, TeamQueue>()
    private val waitingOfTeam = HashMap<TeamId, Int>()
    private val grantIntervals = HashMap<TeamId, GrantInterval>()
    private val deadlines = PriorityQueue<QueuedRow>(compareBy { it.request.deadline })
    private val held = LinkedHashSet<QueuedRow>()
    private var arrivals = 0L

    val teamQueues: Collection<TeamQueue> get() = queues.values

    operator fun get(number: RequestNumber): QueuedRow? = table[number]

    fun queueOf(row: QueuedRow): TeamQueue = QueueKey(row.request.team, row.request.requirement.pool).let { key ->
        queues.getOrPut(key) { TeamQueue(key.team, key.pool, outstanding) }
    }

    /** Adds [request] and returns its row, or returns null when a bound is reached. */
    fun add(request: QueuedRequest): QueuedRow? {
        val waiting = waitingOfTeam[request.team] ?: 0
        if (waiting >= settings.queuePerTeam) return null
        val row = QueuedRow(request, arrivals++)
        if (!table.put(request.number, row)) return null
        waitingOfTeam[request.team] = waiting + 1
        queueOf(row).add(row)
        deadlines += row
        return row
    }

    fun remove(row: QueuedRow) {
        row.isRemoved = true
        table.remove(row.request.number)
        val queue = queueOf(row)
        queue.remove(row)
        if (queue.isEmpty && queue.reportedUnoffered.isEmpty()) queues.remove(QueueKey(queue.team, queue.pool))
        waitingOfTeam.computeIfPresent(row.request.team) { _, count -> if (count > 1) count - 1 else null }
        if (deadlines.size > 2 * settings.queueTotal) deadlines.removeIf { it.isRemoved }
    }

    /** Records a grant to [team], for the estimate of retry times. */
    fun recordGrant(team: TeamId, now: Timestamp): Unit =
        grantIntervals.getOrPut(team) { GrantInterval() }.recordGrant(now)

    /** Time to retry a refused request of [team]: when about a quarter of its queue is expected to be granted. */
    fun retryAt(team: TeamId, now: Timestamp): Timestamp =
        now.plusMicroseconds((grantIntervals[team] ?: GrantInterval()).expectedMicroseconds(settings.queuePerTeam / 4))

    /** Removes and returns the next request whose deadline has passed. */
    fun nextExpired(now: Timestamp): QueuedRow? {
        while (true) {
            val row = deadlines.peek() ?: return null
            if (!row.isRemoved && row.request.deadline > now) return null
            deadlines.poll()
            if (!row.isRemoved) return row
        }
    }

    /** Registers [row] to be offered again when its hold ends. */
    fun addHeld(row: QueuedRow) {
        held += row
    }

    /** Removes the requests whose hold has ended and returns their queues. */
    fun releaseHeld(now: Timestamp): List<TeamQueue> {
        val ended = held.filter { it.isRemoved || it.heldUntil <= now }
        held -= ended.toSet()
        return ended.filterNot { it.isRemoved }.map(::queueOf).distinct()
    }

    fun retain(teams: Set<TeamId>) {
        grantIntervals.keys.retainAll(teams)
    }
}
