package azuredale.platform

import azuredale.gateway.FailureHeaders
import azuredale.gateway.Header
import azuredale.outcome.Failure
import azuredale.time.Timestamp
import java.util.Locale

/** Builds the headers of responses that the router generates itself, such as `Retry-After` on a refusal. */
internal object ErrorResponseFormat : FailureHeaders {
    override fun headers(failure: Failure, now: Timestamp): List<Header> {
        val type = Header("Content-Type", "text/plain")
        val retryAt = failure.retryAt ?: return listOf(type)
        val seconds = retryAt.secondsSince(now).coerceAtLeast(0.0)
        return listOf(type, Header(PlatformHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)))
    }
}
