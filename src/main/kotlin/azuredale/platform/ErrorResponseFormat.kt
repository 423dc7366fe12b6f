package azuredale.platform

import azuredale.gateway.FailureHeaders
import azuredale.gateway.Header
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Builds the headers of responses that the router generates itself, such as `Retry-After` on a refusal. */
internal object ErrorResponseFormat : FailureHeaders {
    override fun headers(failure: Failure, now: Timestamp): List<Header> {
        val type = Header("Content-Type", "text/plain")
        val retryAt = failure.retryAt ?: return listOf(type)
        val milliseconds = retryAt.microsecondsSince(now).coerceAtLeast(0) / Timestamp.MICROSECONDS_PER_MILLISECOND
        return listOf(type, Header(PlatformHeader.RETRY_AFTER, (milliseconds / MILLISECONDS_PER_SECOND).toString()))
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0
}
