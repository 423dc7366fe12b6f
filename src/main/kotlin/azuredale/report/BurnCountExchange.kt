package azuredale.report

import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.outcome.Execution
import azuredale.protocol.BurnCounts
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * Sends this router's request counts to the aggregating routers and merges the counts that other routers send.
 *
 * The aggregating routers are the first [AGGREGATOR_COUNT] members in rendezvous-hash order. Each holds the counts of
 * the whole fleet, so the burn-rate report survives the restart of one of them.
 */
internal class BurnCountExchange(
    private val self: RouterId,
    private val tracker: BurnTracker,
    private val members: () -> List<RouterId>,
) {
    private var nextSendAt = Timestamp.DISTANT_PAST

    /**
     * Counts a request that ended on this router.
     *
     * A request counts as failed when it may have run or when its error is retryable; an error that the caller has to
     * correct does not use up the error budget.
     */
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

    /** Returns the messages to send if the send period has elapsed. */
    fun tick(now: Timestamp): List<NodeEffect> {
        if (now < nextSendAt) return emptyList()
        nextSendAt = now.plusMilliseconds(SEND_PERIOD_MILLISECONDS)
        val counts = tracker.takeCounts(now)
        return aggregators().filter { it != self }.map { NodeEffect.SendMessage(it, counts) }
    }

    /** Merges the counts received from another router. */
    fun received(from: RouterId, counts: BurnCounts, now: Timestamp): List<NodeEffect> {
        tracker.merge(from, counts, now)
        return emptyList()
    }

    /** Routers that aggregate the counts of the whole fleet. */
    fun aggregators(): List<RouterId> =
        members().sortedWith(compareBy({ StableHash.of("burn", it.name) }, { it.name })).take(AGGREGATOR_COUNT)

    private companion object {
        const val AGGREGATOR_COUNT = 3

        /** A delay of one minute is acceptable because the shortest burn-rate window is five minutes. */
        const val SEND_PERIOD_MILLISECONDS = 60_000L
    }
}
