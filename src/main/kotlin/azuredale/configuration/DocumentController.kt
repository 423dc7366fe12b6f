package azuredale.configuration

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.FailureDomain
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.PeerMessage
import azuredale.time.Timestamp

/**
 * Holds the current document and decides whether its last confirmation is recent enough to start new work.
 *
 * A document is only replaced by one of a higher revision. Inputs are responses of the key-value service, messages and
 * datagrams of peers, and ticks. Each function returns the effects that the caller must execute.
 *
 * ```
 * val controller = DocumentController(settings.router, settings.failureDomain) { settings.seeds.size }
 * val effects = controller.documentRead(accepted, now)
 * if (controller.mayGiveOutWork(now)) start(controller.document())
 * ```
 *
 * @param minimumFleetSize fleet size assumed if fewer routers are known. Prevents a restarted, isolated router that
 *   knows only itself from treating itself as a majority.
 */
public class DocumentController(
    private val self: RouterId,
    private val failureDomain: FailureDomain,
    private val minimumFleetSize: () -> Int = { 1 },
) {
    private val documents = Table<Unit, HeldDocument>("document", OWNER, maximumRows = 1, rank = LockRank.DOCUMENT)
    private val states = Table<Unit, DocumentState>("freshness", OWNER, maximumRows = 1, rank = LockRank.DOCUMENT)

    /** The current document, or null if none has been received yet. */
    public fun document(): AcceptedDocument? = documents.locked { documents[Unit]?.accepted }

    /** Whether new work may be started at [now] under [document]. */
    public fun mayGiveOutWork(now: Timestamp): Boolean = view { held, state ->
        held != null && state.freshness.isFresh(now)
    }

    /**
     * Whether more than half of the fleet replied to this node within the last second.
     *
     * A call makes the node poll the fleet on its next ticks. Callers repeat the call until it returns true or they
     * time out.
     */
    public fun isConnectedWithMajority(now: Timestamp): Boolean = states.locked {
        val state = states[Unit] ?: DocumentState.initial(self)
        states.put(Unit, state.copy(poll = state.poll.requested(now)))
        state.isConnectedWithMajority(now, minimumFleetSize())
    }

    /** The latest confirmation, to be sent in datagrams to other routers, or null if there is none. */
    public fun confirmation(now: Timestamp): Confirmation? = view { _, state -> state.confirmation(now) }

    /** Handles a [document] returned by the key-value service, which is null if none is stored. */
    public fun documentRead(document: AcceptedDocument?, now: Timestamp): List<NodeEffect> =
        step(now) { documentRead(document) }

    /** Handles a confirmation by the key-value service that [revision] is the latest. */
    public fun revisionConfirmed(revision: Revision, now: Timestamp): List<NodeEffect> =
        step(now) { revisionConfirmed(revision) }

    /** Handles a failed read of the key-value service. */
    public fun platformFailed(now: Timestamp): List<NodeEffect> = step(now) { readFailed() }

    /** Handles a [confirmation] from a peer's datagram. */
    public fun confirmationReceived(confirmation: Confirmation, now: Timestamp): List<NodeEffect> =
        step(now) { confirmationReceived(confirmation) }

    /** Handles a datagram which states that [router] holds [revision]. */
    public fun peerRevision(router: RouterId, revision: Revision, now: Timestamp): List<NodeEffect> =
        step(now) { recordHolder(router, revision) }

    /** Handles a message of [from]. Ignores messages that do not concern the document. */
    public fun messageReceived(from: RouterId, message: PeerMessage, now: Timestamp): List<NodeEffect> =
        when (message) {
            is DocumentAnnounce -> step(now) { announcementReceived(from, message) }
            is DocumentRequest -> step(now) { requestReceived(from, message) }
            is DocumentBody -> bodyReceived(from, message, now)
            else -> emptyList()
        }

    /** Parses before locking, since parsing the document of a fleet of the target size takes 100 ms. */
    private fun bodyReceived(from: RouterId, message: DocumentBody, now: Timestamp): List<NodeEffect> {
        val envelope = DocumentEnvelope.decompress(message.body)?.let(DocumentEnvelope::decode)
        val held = document()?.revision ?: Revision.NONE
        if (envelope != null && envelope.revision <= held) return emptyList()
        val accepted = envelope?.accepted()
        return step(now) { bodyReceived(from, accepted) }
    }

    /** Handles a change of the failure detector's member list to [members], which may include this router. */
    public fun membersChanged(members: List<Member>, now: Timestamp): List<NodeEffect> =
        step(now) { membersChanged(members, failureDomain) }

    /** Handles a timer tick. */
    public fun tick(now: Timestamp): List<NodeEffect> = step(now) { }

    private fun step(now: Timestamp, action: DocumentStep.() -> Unit): List<NodeEffect> = states.locked {
        documents.locked {
            val state = states[Unit] ?: DocumentState.initial(self)
            val step = DocumentStep(self, documents[Unit], state, now, minimumFleetSize())
            step.run(action)
            step.held?.let { documents.put(Unit, it) }
            states.put(Unit, step.state)
            step.effects
        }
    }

    /** Acquires the locks in the same order as [step], which prevents deadlocks. */
    private fun <T> view(read: (HeldDocument?, DocumentState) -> T): T = states.locked {
        documents.locked { read(documents[Unit], states[Unit] ?: DocumentState.initial(self)) }
    }

    private companion object {
        const val OWNER = "DocumentController"
    }
}
