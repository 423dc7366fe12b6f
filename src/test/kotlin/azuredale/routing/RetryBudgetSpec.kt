package azuredale.routing

import kotlin.test.Test
import kotlin.test.assertEquals

class RetryBudgetSpec {
    @Test
    fun `allows the burst once and then the share of first attempts`() {
        // Guards against retries that multiply the load on a pool that fails every request.
        val budget = RetryBudget(share = 0.1, burst = 5.0)
        assertEquals(5, (1..100).count { budget.tryTakeRetry() })
        val retries =
            (1..1_000).sumOf {
                budget.recordFirstAttempt()
                (1..3).count { budget.tryTakeRetry() }
            }
        // Floating-point rounding may delay one retry.
        assertEquals(true, retries in 99..100, "$retries retries for 1,000 first attempts")
    }

    @Test
    fun `accumulates no more than the burst`() {
        val budget = RetryBudget(share = 0.5, burst = 3.0)
        repeat(1_000) { budget.recordFirstAttempt() }
        assertEquals(3, (1..100).count { budget.tryTakeRetry() })
    }
}
