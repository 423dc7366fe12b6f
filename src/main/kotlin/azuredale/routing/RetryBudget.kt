package azuredale.routing

/**
 * Limits retries to a share of traffic, so that a failing pool is not flooded by repeats.
 *
 * Every first attempt adds [share] to the balance, every retry takes 1. The balance starts at and never passes [burst],
 * which lets a quiet router retry at all.
 */
public class RetryBudget(
    private val share: Double = 0.1,
    private val burst: Double = 20.0,
) {
    private var balance = burst

    /** Counts a first attempt. */
    public fun firstAttempt() {
        balance = minOf(burst, balance + share)
    }

    /** Takes one retry from the balance; false when none is left. */
    public fun takeRetry(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
