package azuredale.membership

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Synchronises the member table with another router, page by page.
 *
 * A synchronisation runs once when this router joins, and again if several acknowledgements in a row carry a different
 * fingerprint, for example after a network partition.
 */
internal class MemberTableSync(private val options: MembershipOptions) {
    private var isRunning = true
    private var cursor: RouterId? = null
    private var nextRequestAt = Timestamp.DISTANT_PAST
    private var nextSyncAt = Timestamp.DISTANT_PAST
    private var mismatches = 0

    /** Whether the first synchronisation is complete. */
    var hasJoined: Boolean = false
        private set

    /** Router to request the next page from, or null for any router. */
    var source: RouterId? = null
        private set

    /** Last router of the previous page, or null to start from the beginning. */
    val position: RouterId? get() = cursor

    /** Whether to request a page now. If so, schedules a retry in case the request is not answered. */
    fun tryRequest(now: Timestamp): Boolean {
        if (!isRunning || now < nextRequestAt) return false
        nextRequestAt = now.plusMilliseconds(options.joinIntervalMilliseconds)
        return true
    }

    /** Records that a page arrived; [next] is its last router, or null if it was the last page. */
    fun pageReceived(next: RouterId?, now: Timestamp) {
        if (!isRunning) return
        cursor = next
        nextRequestAt = now.plusMilliseconds(options.pageIntervalMilliseconds)
        if (next != null) return
        isRunning = false
        hasJoined = true
        mismatches = 0
        nextSyncAt = now.plusMilliseconds(options.syncIntervalMilliseconds)
    }

    /** Records whether [router] has the same fingerprint; starts a synchronisation if fingerprints keep differing. */
    fun recordComparison(router: RouterId, isEqual: Boolean, now: Timestamp) {
        mismatches = if (isEqual) 0 else mismatches + 1
        if (isRunning || mismatches < MISMATCHES || now < nextSyncAt) return
        isRunning = true
        cursor = null
        source = router
        nextRequestAt = now
    }

    /** Lets the next page be requested from any router, in case the chosen one does not answer or has left. */
    fun clearSource() {
        source = null
    }

    private companion object {
        /** Fingerprints differ for a few probes while an update is still being distributed. */
        const val MISMATCHES = 5
    }
}
