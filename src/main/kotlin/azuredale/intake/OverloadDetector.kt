package azuredale.intake

import azuredale.time.Timestamp

/**
 * Detects that a router cannot keep up with its callers: its periodic work runs late again and again.
 *
 * A single pause, for example for a garbage collection, is no overload. The state lasts for a while after the last
 * delay, so that callers who were sent to other routers do not all come back at once.
 */
internal class OverloadDetector {
    private var lastDelayAt = Timestamp.DISTANT_PAST
    private var overloadedUntil = Timestamp.DISTANT_PAST

    /** Records that periodic work ran [lagMilliseconds] late. */
    fun recordLag(lagMilliseconds: Long, now: Timestamp) {
        if (lagMilliseconds >= DELAY_MILLISECONDS) recordDelay(now)
    }

    /** Records that work waits for too long. */
    fun recordDelay(now: Timestamp) {
        val isRepeated = now < lastDelayAt.plusMilliseconds(REPEAT_MILLISECONDS)
        lastDelayAt = now
        if (isRepeated) overloadedUntil = now.plusMilliseconds(HOLD_MILLISECONDS)
    }

    /** Whether the router is overloaded at [now]. */
    fun isOverloaded(now: Timestamp): Boolean = now < overloadedUntil

    private companion object {
        /** Half of the shortest latency targets; routers that keep up run their periodic work within 20 ms. */
        const val DELAY_MILLISECONDS = 100L

        /** Delays that follow each other within this time are one overload. */
        const val REPEAT_MILLISECONDS = 1_500L

        /** Callers ask for addresses every second and keep an answer for up to three. */
        const val HOLD_MILLISECONDS = 6_000L
    }
}
