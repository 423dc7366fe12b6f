package azuredale.membership

import azuredale.time.Timestamp

/** A token bucket of bytes: [bytesPerSecond] in the long run, [burstBytes] at once. */
internal class ByteBudget(
    private val bytesPerSecond: Int,
    private val burstBytes: Int,
) {
    private var refilledAt: Timestamp? = null

    /** Bytes that may be spent now. */
    var available: Double = burstBytes.toDouble()
        private set

    /** Adds the bytes of the time since the last call. */
    fun refill(now: Timestamp) {
        val elapsed = refilledAt?.let { now.secondsSince(it) } ?: 0.0
        available = minOf(burstBytes.toDouble(), available + elapsed * bytesPerSecond)
        refilledAt = now
    }

    /** Takes [bytes] if they are available, and returns whether they were. */
    fun spend(bytes: Int): Boolean {
        val isCovered = available >= bytes
        if (isCovered) available -= bytes
        return isCovered
    }
}
