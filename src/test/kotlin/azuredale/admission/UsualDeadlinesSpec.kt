package azuredale.admission

import kotlin.test.Test
import kotlin.test.assertEquals

class UsualDeadlinesSpec {
    private val deadlines = UsualDeadlines()

    @Test
    fun `a budget within the usual range is taken for a first try`() {
        // Guards against first tries that are treated as late returns because callers give different budgets.
        assertEquals(0, deadlines.used("r", 5_000))
        assertEquals(0, deadlines.used("r", 4_400))
    }

    @Test
    fun `a budget below the usual range shows what was used before`() {
        deadlines.used("r", 5_000)
        assertEquals(1_250, deadlines.used("r", 3_000))
        assertEquals(0, deadlines.used("other", 3_000))
        assertEquals(0, deadlines.used("r", null))
    }
}
