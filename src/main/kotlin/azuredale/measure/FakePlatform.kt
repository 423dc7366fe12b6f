package azuredale.measure

import azuredale.configuration.AcceptedDocument
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
import azuredale.node.ClaimResult
import azuredale.node.NodeEvent

/**
 * A router process as a client of the platform; [isReachable] and [deliver] account for partitions and restarts.
 *
 * @property name unique per process, so that a restarted router is treated as having no document.
 */
internal class PlatformClient(
    val name: String,
    val isReachable: () -> Boolean,
    val deliver: (NodeEvent) -> Unit,
)

/**
 * Simulated key-value service that stores the document and the claimed keys, with outages, slow and lost replies.
 *
 * It behaves like the platform edge of the daemon: a pending watch counts as one call, delivers changes only and is
 * reopened without an event after it breaks; reading a document that the client already has confirms its revision.
 */
internal class FakePlatform(private val queue: EventQueue) {
    private val claims = HashSet<String>()
    private val watchers = LinkedHashMap<String, PlatformClient>()
    private val requestedWatches = LinkedHashMap<String, PlatformClient>()
    private val knownRevisions = HashMap<String, Revision>()

    var document: AcceptedDocument? = null
        private set
    var calls: Long = 0
        private set
    var claimCalls: Long = 0
        private set
    var isDown: Boolean = false
    var extraDelay: Long = 0
    var isLosingReplies: Boolean = false

    init {
        queue.every(WATCH_CHECK, WATCH_CHECK) { reopenBroken() }
    }

    /** Stores [next] and notifies the watchers. */
    fun store(next: AcceptedDocument) {
        document = next
        watchers.values.filterNot(::isUnreachable).forEach { client ->
            queue.after(REPLY_DELAY + extraDelay) { if (!isUnreachable(client)) client.deliver(documentRead(client)) }
        }
    }

    fun read(client: PlatformClient) {
        countCall(client)
        val delay = REPLY_DELAY + extraDelay
        val isLate = isUnreachable(client) || isLosingReplies || delay > CALL_TIMEOUT
        queue.after(if (isLate) CALL_TIMEOUT else delay) {
            client.deliver(if (isLate || isUnreachable(client)) NodeEvent.PlatformFailed else confirmed(client))
        }
    }

    fun watch(client: PlatformClient, isWatching: Boolean) {
        if (isWatching) requestedWatches[client.name] = client else requestedWatches.remove(client.name)
        if (isWatching) open(client) else watchers.remove(client.name)
    }

    fun claim(client: PlatformClient, request: RequestNumber, key: String) {
        countCall(client)
        claimCalls++
        val delay = REPLY_DELAY + extraDelay
        val isRefused = isUnreachable(client)
        val result =
            when {
                isRefused -> ClaimResult.UNAVAILABLE
                claims.add(key) -> ClaimResult.CLAIMED
                else -> ClaimResult.HELD
            }
        val isLost = !isRefused && (isLosingReplies || delay > CALL_TIMEOUT)
        queue.after(if (isRefused || isLost) CALL_TIMEOUT else delay) {
            val isUnknown = isLost || (!isRefused && isUnreachable(client))
            client.deliver(NodeEvent.KeyClaimed(request, if (isUnknown) ClaimResult.UNKNOWN else result))
        }
    }

    /** Counts a call unless it cannot reach the service. */
    private fun countCall(client: PlatformClient) {
        if (client.isReachable()) calls++
    }

    private fun confirmed(client: PlatformClient): NodeEvent {
        val current = document
        val isKnown = current != null && knownRevisions[client.name] == current.revision
        return if (isKnown) NodeEvent.RevisionConfirmed(current.revision) else documentRead(client)
    }

    private fun documentRead(client: PlatformClient): NodeEvent {
        document?.let { knownRevisions[client.name] = it.revision }
        return NodeEvent.DocumentRead(document)
    }

    private fun open(client: PlatformClient) {
        countCall(client)
        if (isUnreachable(client)) return
        watchers[client.name] = client
        read(client)
    }

    private fun reopenBroken() {
        watchers.values.removeIf(::isUnreachable)
        requestedWatches.filterKeys { it !in watchers }.values.forEach(::open)
    }

    private fun isUnreachable(client: PlatformClient) = isDown || !client.isReachable()

    private companion object {
        const val REPLY_DELAY = 4 * EventQueue.MILLISECOND

        /** Time after which the platform edge gives up on a call. */
        const val CALL_TIMEOUT = 800 * EventQueue.MILLISECOND
        const val WATCH_CHECK = 500 * EventQueue.MILLISECOND
    }
}
