package azuredale.measure

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a heap figure that is negative because other code released memory while it was taken. */
class CapacityMeterSpec {
    private var ballast: ByteArray? = ByteArray(200_000)

    @Test
    fun `the heap of small results is right although other memory is released meanwhile`() {
        var calls = 0
        val (_, bytes) =
            CapacityMeter.retainedHeap {
                // The first call is the warm-up, so this is released between the two readings of the heap.
                if (++calls == 2) ballast = null
                ByteArray(1_000)
            }
        assertEquals(1_016.0, bytes, absoluteTolerance = 150.0)
    }
}
