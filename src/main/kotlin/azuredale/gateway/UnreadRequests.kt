package azuredale.gateway

import azuredale.admission.RetryTime
import azuredale.intake.Intake
import azuredale.logging.EventLog
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Clock

/**
 * Refuses requests that could not start in time before the rest of them is decoded.
 *
 * @param random returns a number from 0 to 1, which spreads the returns of callers.
 */
internal class UnreadRequests(
    private val intake: Intake,
    private val capacity: RouterCapacity,
    private val metrics: GatewayMetrics,
    private val loadLog: RouterLoadLog,
    private val log: EventLog,
    private val clock: Clock,
    private val random: () -> Double,
) {
    /**
     * Returns the failure for a request that could not start in time, otherwise null.
     *
     * @param request decodes only what is read of it, which is nothing while no requests wait.
     */
    fun refusal(request: RequestPreview): Failure? {
        if (intake.waiting == 0) return null
        if (!intake.isBehind(request.key.orEmpty())) return null
        val now = clock()
        val remaining = request.remainingMilliseconds
        capacity.recordDelay(now)
        metrics.recordEnd(ErrorKind.OVERLOADED, now, null, now)
        val retryAt = RetryTime.at(remaining ?: 0, random(), now)
        val failure = Failure(ErrorKind.OVERLOADED, "requests with this key wait too long", retryAt)
        if (loadLog.recordRefusalUnread()) {
            log.write(
                GatewayLogEvent.REQUEST_REFUSED,
                "request" to request.id,
                "kind" to failure.kind,
                "execution" to failure.execution,
                "detail" to failure.detail,
                "left" to remaining,
            )
        }
        return failure
    }
}
