package azuredale.report

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.time.Timestamp

/**
 * A request that ended, with its times as its caller saw them.
 *
 * @property failure null when the whole answer was delivered.
 * @property firstTokenMicroseconds time to the first part of the answer, or null when none was delivered.
 * @property betweenTokensMicroseconds mean time between tokens, or null for fewer than two.
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
 * Times of this router's requests in progress; the oldest is forgotten when the table is full.
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

    /** A request arrived. */
    fun received(request: RequestNumber, team: TeamId, pool: PoolId, now: Timestamp): Unit = rows.locked {
        if (rows.isFull) rows.remove(rows.entries.keys.first())
        rows.put(request, Row(team, pool, now))
    }

    /** A part of the answer was delivered, up to [cost]. */
    fun progressed(request: RequestNumber, cost: Double, now: Timestamp): Unit = rows.locked {
        val row = rows[request]
        if (row != null && cost > 0) {
            val first = row.copy(firstAt = row.firstAt ?: now, lastCost = cost)
            rows.put(request, if (row.firstAt == null) first.copy(firstCost = cost) else first)
        }
    }

    /** The request ended; returns its times, or null when it is not known. */
    fun ended(request: RequestNumber, failure: ErrorKind?, now: Timestamp): TimedRequest? {
        val row = rows.locked { rows.remove(request) } ?: return null
        // An answer without reported progress arrived as a whole.
        val firstAt = row.firstAt ?: now.takeIf { failure == null }
        val later = row.lastCost - row.firstCost
        return TimedRequest(
            team = row.team,
            pool = row.pool,
            failure = failure,
            totalMicroseconds = now.microsecondsSince(row.receivedAt),
            firstTokenMicroseconds = firstAt?.microsecondsSince(row.receivedAt),
            betweenTokensMicroseconds =
                if (firstAt == null || later < 1) null else (now.microsecondsSince(firstAt) / later).toLong(),
        )
    }
}
