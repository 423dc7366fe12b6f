package azuredale.freshness

import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlin.math.abs

/**
 * Tells when the steady clock may have stood still, as it does while a VM is suspended.
 *
 * The time of day goes on meanwhile, so the two clocks part. A step of the time of day looks the same and is treated
 * the same way: what was known to be recent is not trusted any more.
 *
 * @param steady time that never steps but stands still during a suspension.
 * @param timeOfDay time that may step but goes on during a suspension.
 */
internal class SteadyTime(
    private val steady: Clock,
    private val timeOfDay: Clock,
) {
    private var offset = currentOffset()

    /** Whether the clocks have parted since the last call. */
    fun hasJumped(): Boolean {
        val now = currentOffset()
        val hasJumped = abs(now - offset) > TOLERANCE_MICROSECONDS
        if (hasJumped) offset = now
        return hasJumped
    }

    private fun currentOffset() = timeOfDay().microsecondsSince(Timestamp(steady().microseconds))

    private companion object {
        /** Well under the margin that a proof of freshness leaves, and above the usual drift between calls. */
        const val TOLERANCE_MICROSECONDS = 250_000L
    }
}
