package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp
import java.util.EnumSet

/** Log lines and metrics of one request. */
internal class RequestLog(
    private val head: RequestHead,
    private val progress: RequestProgress,
    private val context: GatewayContext,
) {
    /** Set as soon as the request is authorized. */
    var authorized: AuthorizedRequest? = null

    /** Records an attempt that failed at [server]. */
    fun attemptFailed(end: AttemptResult, server: BackendEntry) {
        val (kind, detail) =
            when (end) {
                is AttemptResult.NotRun -> end.kind to end.detail
                is AttemptResult.Failed -> end.kind to end.detail
                is AttemptResult.Done -> return
            }
        val now = context.clock()
        context.log.write(
            GatewayLogEvent.ATTEMPT_FAILED,
            "request" to head.id,
            "server" to server.id,
            "attempt" to progress.attempts,
            "kind" to kind,
            "detail" to detail,
            "parts" to head.prompt?.parts?.joinToString(" ", limit = LOGGED_PARTS) { it.id },
            "sent" to progress.sentAt?.let { milliseconds(it, now) },
            "lastEvent" to progress.lastEventAt?.let { milliseconds(it, now) },
            "age" to progress.ageMilliseconds(now),
        )
    }

    /** Records that the caller gets [failure] from this router. */
    fun refused(failure: Failure) {
        val now = context.clock()
        context.metrics.recordEnd(failure.kind, progress.arrivedAt, progress.firstEventAt, now)
        if (failure.kind in LOAD_REFUSALS) {
            context.loadLogs.shares.recordRefusal(now)
            if (!context.loadLogs.router.recordRefusal()) return
        }
        context.log.write(
            GatewayLogEvent.REQUEST_REFUSED,
            "request" to head.id,
            "kind" to failure.kind,
            "execution" to failure.execution,
            "detail" to failure.detail,
            "route" to authorized?.route?.name,
            "team" to authorized?.team,
            "tokens" to head.prompt?.cost,
            "left" to head.remainingMilliseconds,
            "age" to progress.ageMilliseconds(now),
        )
    }

    /** Records how the request ended otherwise. */
    fun ended(result: String) {
        val now = context.clock()
        val selection = progress.selection
        context.metrics.recordEnd(null, progress.arrivedAt, progress.firstEventAt, now)
        context.log.write(
            GatewayLogEvent.REQUEST_ENDED,
            "request" to head.id,
            "result" to result,
            "attempts" to progress.attempts,
            "server" to selection?.server?.id,
            "uncached" to selection?.uncachedTokens,
            "waiting" to selection?.load?.waitingTokens,
            "running" to selection?.load?.running,
            "predicted" to selection?.predictedMilliseconds?.toLong(),
            "sent" to progress.sentAt?.let { milliseconds(progress.arrivedAt, it) },
            "first" to progress.firstEventAt?.let { milliseconds(progress.arrivedAt, it) },
            "pause" to progress.longestPause / Timestamp.MICROSECONDS_PER_MILLISECOND,
            "route" to authorized?.route?.name,
            "team" to authorized?.team,
            "version" to authorized?.mark?.version,
            "tokens" to head.prompt?.cost,
            "late" to milliseconds(progress.onTimeUntil, progress.firstEventAt ?: now),
            "left" to head.remainingMilliseconds,
            "age" to progress.ageMilliseconds(now),
        )
    }

    private fun milliseconds(from: Timestamp, to: Timestamp) =
        to.microsecondsSince(from) / Timestamp.MICROSECONDS_PER_MILLISECOND

    private companion object {
        /** Bounds the length of a log line. */
        const val LOGGED_PARTS = 16

        /** Refusals of requests that a less loaded fleet would serve. */
        val LOAD_REFUSALS: Set<ErrorKind> =
            EnumSet.of(ErrorKind.SHARE_EXCEEDED, ErrorKind.PREDICTED_LATE, ErrorKind.OVERLOADED)
    }
}
