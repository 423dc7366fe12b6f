package azuredale.platform

import azuredale.gateway.FailureHeaders
import azuredale.gateway.Header
import azuredale.outcome.Failure
import azuredale.time.Timestamp
import java.util.Locale

/** Headers of answers that a router gives itself. */
internal object AnswerWire : FailureHeaders {
    override fun headers(failure: Failure, now: Timestamp): List<Header> {
        val type = Header("Content-Type", "text/plain")
        val retryAt = failure.retryAt ?: return listOf(type)
        val seconds = retryAt.secondsSince(now).coerceAtLeast(0.0)
        return listOf(type, Header(WireHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)))
    }
}
