package azuredale.measure

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CapacitySpec {
    private val size =
        CapacitySize(
            routers = 6,
            teams = 400,
            servers = 8,
            models = 4,
            backlogged = 4,
            rounds = 200,
        )

    @Test
    fun `prints every figure as a positive number`() {
        // Guards against a controller that ignores the events of the probe, so that its cost is reported as zero.
        val rows = CapacityProbe(size, seed = 1).rows()
        rows.forEach { assertTrue(it.value > 0, "seed 1: $it") }
        val output = StringBuilder()
        assertEquals(MeasureExit.PASSED, runCapacity(size, output))
        val lines = output.lines().drop(1).filter { it.isNotEmpty() }
        assertEquals(rows.map { it.name }, lines.map { it.substringBefore("  ") }, "seed 1")
    }
}
