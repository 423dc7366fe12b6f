package azuredale.admission

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

class MaxMinFairShareSpec {
    @ParameterizedTest
    @MethodSource("cases")
    fun `limits all teams to the max-min fair share`(case: Case) {
        // Guards against shares below what the capacity allows, and against large teams that starve small ones.
        assertEquals(case.share, MaxMinFairShare.compute(case.demands, case.capacity))
    }

    data class Case(
        val demands: List<Long>,
        val capacity: Long,
        val share: Double,
    )

    companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(emptyList(), 10, Double.POSITIVE_INFINITY),
            Case(listOf(5, 5), 10, Double.POSITIVE_INFINITY),
            Case(listOf(2, 10), 10, 8.0),
            Case(listOf(2, 10, 10), 12, 5.0),
            Case(listOf(100), 7, 7.0),
        )
    }
}
