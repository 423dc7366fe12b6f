package azuredale.gateway

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Load pattern: the callers of one team keep to one small VM and flood it with connections and uploads. */
class MemoryPlanSpec {
    /** The heap that the deployment gives to a router on a VM of [memory] bytes. */
    private fun heap(memory: Long) = memory * 40 / 100

    private fun plan(megabytes: Long) = MemoryPlan(megabytes * MEGABYTE, heap(megabytes * MEGABYTE))

    @Nested
    inner class Bounds {
        @ParameterizedTest
        @ValueSource(longs = [88, 100, 128, 200, 266, 280, 390, 682])
        fun `of a VM stay within its memory when all parts are used up`(megabytes: Long) {
            // Guards against a process that the platform ends for its memory, with all requests that it holds.
            val plan = plan(megabytes)
            val bound = megabytes * MEGABYTE
            assertTrue(plan.memoryNeeded <= bound, "${plan.memoryNeeded} of $bound bytes")
            assertTrue(plan.heapNeeded <= heap(bound), "${plan.heapNeeded} of ${heap(bound)} bytes of heap")
            assertTrue(plan.bodyBytes * 3 / 4 >= 4 * MEGABYTE, "no room for one body of 4 MiB")
        }

        @ParameterizedTest
        @CsvSource("266, 40", "280, 40", "682, 40")
        fun `of larger VMs leave the bodies their part of the heap`(megabytes: Long, percent: Long) {
            // Guards against deployments with larger VMs that are served worse because small ones are bounded.
            assertEquals(heap(megabytes * MEGABYTE) * percent / 100, plan(megabytes).bodyBytes)
        }

        @Test
        fun `need no limit of the platform`() {
            assertEquals(40 * MEGABYTE, MemoryPlan(memoryBytes = null, heapBytes = 100 * MEGABYTE).bodyBytes)
        }
    }

    @Nested
    inner class Flood {
        @ParameterizedTest
        @ValueSource(longs = [88, 128, 266])
        fun `of uploads holds no more than the plan, and small requests still find room`(megabytes: Long) {
            // Guards against uploads that wait with their bodies in memory, and against a router that refuses all.
            val plan = plan(megabytes)
            val budget = RequestBodyBudget(plan.bodyBytes) { _, _ -> Timer {} }
            val random = Random(1)
            val held = ArrayDeque<RequestBodyBudget.Reservation>()
            var refused = 0
            repeat(20_000) {
                val bytes = if (random.nextInt(10) == 0) 4 * MEGABYTE else random.nextLong(200_000) + 17_000
                val reservation = budget.tryReserve(bytes)
                if (reservation == null) refused++ else held.addLast(reservation)
                assertTrue(budget.heldBytes <= plan.bodyBytes, "${budget.heldBytes} of ${plan.bodyBytes} bytes")
                if (random.nextInt(3) == 0) held.removeFirstOrNull()?.release()
                if (it % 100 == 0) assertNotNull(budget.tryReserve(2_000), "a small request is refused").release()
            }
            assertTrue(refused in 1_000..19_000, "$refused of 20,000 refused")
        }
    }

    private companion object {
        const val MEGABYTE = 1_024L * 1_024L
    }
}
