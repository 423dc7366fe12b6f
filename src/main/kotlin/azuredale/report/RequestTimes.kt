package azuredale.report

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.time.Timestamp

/**
 * A finished request with its latencies as seen by the caller.
 *
 * @property failure null if the whole response was delivered.
 * @property firstTokenMicroseconds time to the first part of the response, or null if none was delivered.
 * @property betweenTokensMicroseconds mean time between tokens, or null if fewer than two were delivered.
 */
public data class TimedRequest(
    val team: TeamId,
    val pool: PoolId,
    val failure: ErrorKind?,
    val totalMicroseconds: Long,
    val firstTokenMicroseconds: Long?,
    val betweenTokensMicroseconds: Long?,
)

/**
 * Tracks the latencies of this router's requests in progress; evicts the oldest request when the table is full.
 *
 * ```
 * times.received(number, team, pool, now)
 * times.progressed(number, cost = 1.0, now)
 * times.ended(number, failure = null, now)?.let(onRequestEnded)
 * ```
 */
internal class RequestTimes(maximumRows: Int) {
    private data class Row(
        val team: TeamId,
        val pool: PoolId,
        val receivedAt: Timestamp,
        val firstAt: Timestamp? = null,
        val firstCost: Double = 0.0,
        val lastCost: Double = 0.0,
    )

    private val rows =
        Table<RequestNumber, Row>("request times", "RequestTimes", maximumRows, LockRank.REPORTS)

    /** Records that a request was received. */
    fun received(request: RequestNumber, team: TeamId, pool: PoolId, now: Timestamp): Unit = rows.locked {
        if (rows.isFull) rows.remove(rows.entries.keys.first())
        rows.put(request, Row(team, pool, now))
    }

    /** Records that a part of the response was delivered; [cost] is the cumulative cost so far. */
    fun progressed(request: RequestNumber, cost: Double, now: Timestamp): Unit = rows.locked {
        val row = rows[request]
        if (row != null && cost > 0) {
            val first = row.copy(firstAt = row.firstAt ?: now, lastCost = cost)
            rows.put(request, if (row.firstAt == null) first.copy(firstCost = cost) else first)
        }
    }

    /** Removes the request and returns its latencies, or null if it is unknown or was evicted. */
    fun ended(request: RequestNumber, failure: ErrorKind?, now: Timestamp): TimedRequest? {
        val row = rows.locked { rows.remove(request) } ?: return null
        // Without reported progress, the whole response was delivered at once.
        val firstAt = row.firstAt ?: now.takeIf { failure == null }
        val costSinceFirst = row.lastCost - row.firstCost
        return TimedRequest(
            team = row.team,
            pool = row.pool,
            failure = failure,
            totalMicroseconds = now.microsecondsSince(row.receivedAt),
            firstTokenMicroseconds = firstAt?.microsecondsSince(row.receivedAt),
            betweenTokensMicroseconds =
                if (firstAt == null ||
                    costSinceFirst < 1
                ) {
                    null
                } else {
                    (now.microsecondsSince(firstAt) / costSinceFirst).toLong()
                },
        )
    }
}
