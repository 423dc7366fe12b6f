package azuredale.measure

import azuredale.configuration.AcceptedDocument
import azuredale.identity.RequestNumber
import azuredale.node.ClaimResult
import azuredale.node.NodeEvent

/** A router as the platform answers it: [isReachable] and [deliver] hide the network and restarts of the router. */
internal class PlatformClient(
    val name: String,
    val isReachable: () -> Boolean,
    val deliver: (NodeEvent) -> Unit,
)

/**
 * The key-value service with the document and the claimed keys, and with outages, slowness and lost replies.
 *
 * A pending watch is one call; it delivers changes and confirms the revision every [CONFIRMATION].
 */
internal class FakePlatform(private val queue: EventQueue) {
    private val claims = HashSet<String>()
    private val watchers = LinkedHashSet<PlatformClient>()

    var document: AcceptedDocument? = null
        private set
    var calls: Long = 0
        private set
    var claimCalls: Long = 0
        private set
    var isDown: Boolean = false
    var slowness: Long = 0
    var isLosingReplies: Boolean = false

    init {
        queue.every(CONFIRMATION, CONFIRMATION) { watchers.toList().forEach { notifyWatcher(it, isChange = false) } }
    }

    /** Accepts [next]; watchers hear of it. */
    fun store(next: AcceptedDocument) {
        document = next
        watchers.toList().forEach { notifyWatcher(it, isChange = true) }
    }

    fun read(client: PlatformClient): Unit = call(client) { NodeEvent.DocumentRead(document) }

    fun watch(client: PlatformClient, isWatching: Boolean) {
        if (!isWatching) {
            watchers.remove(client)
            return
        }
        call(client) { NodeEvent.DocumentRead(document).also { watchers.add(client) } }
    }

    fun claim(client: PlatformClient, request: RequestNumber, key: String) {
        calls++
        claimCalls++
        val delay = REPLY + slowness
        if (isDown || !client.isReachable()) {
            return reply(client, FAILURE) { NodeEvent.KeyClaimed(request, ClaimResult.UNAVAILABLE) }
        }
        val isNew = claims.add(key)
        val isLost = isLosingReplies || delay > FAILURE
        val result = if (isNew) ClaimResult.CLAIMED else ClaimResult.HELD
        reply(client, if (isLost) FAILURE else delay) {
            NodeEvent.KeyClaimed(request, if (isLost || isCut(client)) ClaimResult.UNKNOWN else result)
        }
    }

    private fun call(client: PlatformClient, answer: () -> NodeEvent) {
        calls++
        val delay = REPLY + slowness
        if (isCut(client) || delay > FAILURE) return reply(client, FAILURE) { NodeEvent.PlatformFailed }
        reply(client, delay) { if (isCut(client) || isLosingReplies) NodeEvent.PlatformFailed else answer() }
    }

    private fun notifyWatcher(client: PlatformClient, isChange: Boolean) {
        if (isCut(client)) {
            watchers.remove(client)
            return reply(client, FAILURE) { NodeEvent.PlatformFailed }
        }
        val current = document ?: return
        reply(client, REPLY + slowness) {
            when {
                isCut(client) -> NodeEvent.PlatformFailed
                isChange -> NodeEvent.DocumentRead(current)
                else -> NodeEvent.RevisionConfirmed(current.revision)
            }
        }
    }

    private fun isCut(client: PlatformClient) = isDown || !client.isReachable()

    private fun reply(client: PlatformClient, delay: Long, event: () -> NodeEvent): Unit =
        queue.after(delay) { client.deliver(event()) }

    private companion object {
        const val CONFIRMATION = 500 * EventQueue.MILLISECOND
        const val REPLY = 4 * EventQueue.MILLISECOND

        /** The platform client gives a call up after this time. */
        const val FAILURE = 1_000 * EventQueue.MILLISECOND
    }
}
