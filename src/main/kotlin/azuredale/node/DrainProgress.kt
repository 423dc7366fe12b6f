package azuredale.node

import azuredale.time.Timestamp

/** Tracks a graceful shutdown: requested, without work, left the fleet. */
internal class DrainProgress {
    @Volatile
    var isRequested: Boolean = false
        private set
    private var hasLeft = false
    private var leaveAt = Timestamp.DISTANT_PAST

    fun request() {
        isRequested = true
    }

    /**
     * Leaves the fleet after [LEAVE_DELAY_MILLISECONDS] without work. The delay lets queued settlements reach the
     * allotters before the connections close.
     */
    fun tick(now: Timestamp, hasWork: Boolean, leave: (Timestamp) -> List<NodeEffect>): List<NodeEffect> {
        if (!isRequested || hasLeft) return emptyList()
        if (hasWork || leaveAt == Timestamp.DISTANT_PAST) leaveAt = now.plusMilliseconds(LEAVE_DELAY_MILLISECONDS)
        if (now < leaveAt) return emptyList()
        hasLeft = true
        return leave(now) + NodeEffect.Drained
    }

    private companion object {
        const val LEAVE_DELAY_MILLISECONDS = 500L
    }
}
