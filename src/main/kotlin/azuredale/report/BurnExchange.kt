package azuredale.report

import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.outcome.Execution
import azuredale.protocol.BurnCounts
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * Sends this router's burn counts to the reporters, which are the first routers in rendezvous order.
 *
 * Several reporters hold the same counts, so a report survives the restart of one of them.
 */
internal class BurnExchange(
    private val self: RouterId,
    private val tracker: BurnTracker,
    private val members: () -> List<RouterId>,
) {
    private var sendAt = Timestamp.DISTANT_PAST

    /** Counts a request that ended here. */
    fun requestEnded(request: TimedRequest, now: Timestamp) {
        val key = BurnKey(request.team, request.pool)
        val hasFailed = request.failure != null && request.failure.execution != Execution.NOT_RUN
        val isRefused = request.failure != null && request.failure.isRetryable
        val ended =
            EndedRequest(
                hasFailed = hasFailed || isRefused,
                firstTokenMicroseconds = request.firstTokenMicroseconds,
                betweenTokensMicroseconds = request.betweenTokensMicroseconds,
            )
        tracker.requestEnded(key, ended, now)
    }

    /** Sends the counts when they are due. */
    fun tick(now: Timestamp): List<NodeEffect> {
        if (now < sendAt) return emptyList()
        sendAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        val counts = tracker.takeCounts(now)
        return reporters().filter { it != self }.map { NodeEffect.SendMessage(it, counts) }
    }

    /** Merges the counts of another router. */
    fun received(from: RouterId, counts: BurnCounts, now: Timestamp): List<NodeEffect> {
        tracker.merge(from, counts, now)
        return emptyList()
    }

    /** Routers that hold the counts of the whole fleet. */
    fun reporters(): List<RouterId> =
        members().sortedWith(compareBy({ StableHash.of("burn", it.name) }, { it.name })).take(REPORTERS)

    private companion object {
        const val REPORTERS = 3

        /** Burn windows are at least five minutes long, so a minute of lag does not matter. */
        const val PERIOD_MILLISECONDS = 60_000L
    }
}
