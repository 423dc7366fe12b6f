package azuredale.membership

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Reads the member table of other routers in pieces: once when joining, and again when acknowledgements keep showing
 * another fingerprint, as after a partition.
 */
internal class MemberWalk(private val options: MembershipOptions) {
    private var isWalking = true
    private var cursor: RouterId? = null
    private var nextRequestAt = Timestamp.DISTANT_PAST
    private var nextWalkAt = Timestamp.DISTANT_PAST
    private var mismatches = 0

    /** Whether the table has been read to its end once. */
    var hasJoined: Boolean = false
        private set

    /** The router to read from; null means any. */
    var source: RouterId? = null
        private set

    /** The router after which the next piece begins. */
    val position: RouterId? get() = cursor

    /** Whether to send a request now; the next one is due when it was not answered. */
    fun takeRequest(now: Timestamp): Boolean {
        if (!isWalking || now < nextRequestAt) return false
        nextRequestAt = now.plusMilliseconds(options.joinMilliseconds)
        return true
    }

    /** Continues after a piece; [next] is null at the end of the table. */
    fun pieceReceived(next: RouterId?, now: Timestamp) {
        if (!isWalking) return
        cursor = next
        nextRequestAt = now.plusMilliseconds(options.pieceMilliseconds)
        if (next != null) return
        isWalking = false
        hasJoined = true
        mismatches = 0
        nextWalkAt = now.plusMilliseconds(options.walkMilliseconds)
    }

    /** Compares fingerprints after an acknowledgement of [router]; starts a walk when they keep differing. */
    fun compared(router: RouterId, isEqual: Boolean, now: Timestamp) {
        mismatches = if (isEqual) 0 else mismatches + 1
        if (isWalking || mismatches < MISMATCHES || now < nextWalkAt) return
        isWalking = true
        cursor = null
        source = router
        nextRequestAt = now
    }

    /** Reads from any router, because the one chosen does not answer or is gone. */
    fun forgetSource() {
        source = null
    }

    private companion object {
        /** A claim on its way makes fingerprints differ for a few probes. */
        const val MISMATCHES = 5
    }
}
