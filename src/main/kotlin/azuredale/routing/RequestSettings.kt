package azuredale.routing

/**
 * Parameters of the request controller.
 *
 * @property rows most requests in progress.
 * @property retryShare retries allowed for each first attempt.
 * @property retryBurst retries allowed at once after a quiet time.
 * @property attempts most attempts of one request, so that a request that fails everywhere leaves retries to others.
 * @property ineligibleGrants grants of a server that the document excludes before the request is refused.
 * @property delayMilliseconds pause after such a grant, in which the allotter learns of the newer document.
 * @property retryAfterMilliseconds time after which a refused caller is told to come back.
 */
public data class RequestSettings(
    val rows: Int = 4_096,
    val retryShare: Double = 0.1,
    val retryBurst: Double = 20.0,
    val attempts: Int = 4,
    val ineligibleGrants: Int = 40,
    val delayMilliseconds: Long = 50,
    val retryAfterMilliseconds: Long = 1_000,
)
