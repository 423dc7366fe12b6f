package azuredale.membership

import azuredale.time.Timestamp

/** Token bucket that limits traffic to [bytesPerSecond] on average, with bursts of up to [burstBytes]. */
internal class ByteTokenBucket(
    private val bytesPerSecond: Int,
    private val burstBytes: Int,
) {
    private var refilledAt: Timestamp? = null

    /** Bytes that may be sent now. */
    var available: Double = burstBytes.toDouble()
        private set

    /** Adds the bytes earned since the previous call, up to the burst size. */
    fun refill(now: Timestamp) {
        val elapsed = refilledAt?.let { now.secondsSince(it) } ?: 0.0
        available = minOf(burstBytes.toDouble(), available + elapsed * bytesPerSecond)
        refilledAt = now
    }

    /** Withdraws [bytes] that were sent, also if fewer are available; then later traffic has to wait longer. */
    fun withdraw(bytes: Int) {
        available -= bytes
    }

    /** Withdraws [bytes] if that many are available; otherwise withdraws nothing and returns false. */
    fun tryConsume(bytes: Int): Boolean {
        val isAvailable = available >= bytes
        if (isAvailable) available -= bytes
        return isAvailable
    }
}
