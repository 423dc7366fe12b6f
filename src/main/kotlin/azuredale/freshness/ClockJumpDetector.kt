package azuredale.freshness

import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlin.math.abs

/**
 * Detects that the monotonic clock may have stopped, as it does while a VM is suspended.
 *
 * The wall clock advances during a suspension, so the offset between the two clocks changes. A step of the wall clock
 * has the same effect and is handled the same way: earlier proofs of freshness are no longer valid.
 *
 * @param monotonic clock that never steps but stops during a suspension.
 * @param wallClock clock that may step but advances during a suspension.
 */
internal class ClockJumpDetector(
    private val monotonic: Clock,
    private val wallClock: Clock,
) {
    private var offset = currentOffset()

    /** Whether the offset between the clocks has changed by more than the tolerance since the last jump. */
    fun hasJumped(): Boolean {
        val now = currentOffset()
        val hasJumped = abs(now - offset) > TOLERANCE_MICROSECONDS
        if (hasJumped) offset = now
        return hasJumped
    }

    private fun currentOffset() = wallClock().microsecondsSince(Timestamp(monotonic().microseconds))

    private companion object {
        /** Well below the safety margin of freshness proofs, and above the usual drift between calls. */
        const val TOLERANCE_MICROSECONDS = 250_000L
    }
}
