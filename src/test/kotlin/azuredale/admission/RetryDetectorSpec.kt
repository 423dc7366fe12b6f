package azuredale.admission

import kotlin.test.Test
import kotlin.test.assertEquals

class RetryDetectorSpec {
    private val retries = RetryDetector()

    @Test
    fun `a budget within the usual range counts as a first attempt`() {
        // Guards against first attempts that count as retries because budgets differ between callers.
        assertEquals(0, retries.elapsed("r", 5_000))
        assertEquals(0, retries.elapsed("r", 4_400))
    }

    @Test
    fun `a budget below the usual range shows the time spent on earlier attempts`() {
        retries.elapsed("r", 5_000)
        assertEquals(1_250, retries.elapsed("r", 3_000))
        assertEquals(0, retries.elapsed("other", 3_000))
        assertEquals(0, retries.elapsed("r", null))
    }
}
