package azuredale.routing

/**
 * Token bucket that limits retries to a fraction of the traffic, so that retries do not overload a failing pool.
 *
 * Each first attempt adds [share] tokens; each retry takes one. The bucket starts with [burst] tokens, its maximum, so
 * that a router with little traffic can also retry.
 */
public class RetryBudget(
    private val share: Double = 0.1,
    private val burst: Double = 20.0,
) {
    private var balance = burst

    /** Records the first attempt of a request. */
    public fun recordFirstAttempt() {
        balance = minOf(burst, balance + share)
    }

    /** Takes a token for one retry. Returns false if none is left. */
    public fun tryTakeRetry(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
