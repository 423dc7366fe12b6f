package azuredale.routing

/**
 * Settings of the request controller.
 *
 * @property maximumRequests maximum number of requests in progress.
 * @property retryShare number of retries that each first attempt adds to the retry budget.
 * @property retryBurst maximum retry budget.
 * @property maximumAttempts maximum number of attempts per request, so that a request that fails at every server does
 * not use up the retry budget.
 * @property maximumIneligibleGrants number of grants of servers that the document excludes after which a request is
 * refused.
 * @property ineligibleGrantDelayMilliseconds delay after such a grant, for the allotter to receive the newer document.
 * @property retryAfterMilliseconds delay before a retry that is suggested to callers in retryable failures.
 */
public data class RequestSettings(
    val maximumRequests: Int = 4_096,
    val retryShare: Double = 0.1,
    val retryBurst: Double = 20.0,
    val maximumAttempts: Int = 4,
    val maximumIneligibleGrants: Int = 40,
    val ineligibleGrantDelayMilliseconds: Long = 50,
    val retryAfterMilliseconds: Long = 1_000,
)
