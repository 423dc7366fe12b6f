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
 * Holds the document in force and decides whether it is confirmed recently enough to start new work.
 *
 * The highest revision wins and is never replaced by a lower one. Inputs are answers of the key-value service, messages
 * and datagrams of peers, and ticks; every function returns what the edge must do.
 *
 * ```
 * val controller = DocumentController(settings.router, settings.failureDomain) { settings.seeds.size }
 * val effects = controller.documentRead(accepted, now)
 * if (controller.mayGiveOutWork(now)) start(controller.document())
 * ```
 *
 * @param minimumFleetSize number of routers below which the fleet is taken to be incomplete; keeps a restarted and
 *   isolated router, which knows only itself, from counting as its own majority.
 */
public class DocumentController(
    private val self: RouterId,
    private val failureDomain: FailureDomain,
    private val minimumFleetSize: () -> Int = { 1 },
) {
    private val documents = Table<Unit, HeldDocument>("document", OWNER, maximumRows = 1, rank = LockRank.DOCUMENT)
    private val states = Table<Unit, DocumentState>("freshness", OWNER, maximumRows = 1, rank = LockRank.DOCUMENT)

    /** The document in force, or null before the first. */
    public fun document(): AcceptedDocument? = documents.locked { documents[Unit]?.accepted }

    /** Whether new work may be started at [now] under [document]. */
    public fun mayGiveOutWork(now: Timestamp): Boolean = view { held, state ->
        held != null && state.freshness.isFresh(now)
    }

    /**
     * Whether more than half of the fleet answered this node within the last second.
     *
     * The question makes the node poll the fleet at its next ticks, so it is asked again until the answer is true or
     * the caller gives up.
     */
    public fun isConnectedWithMajority(now: Timestamp): Boolean = states.locked {
        val state = states[Unit] ?: DocumentState.initial(self)
        states.put(Unit, state.copy(poll = state.poll.wanted(now)))
        state.isConnectedWithMajority(now, minimumFleetSize())
    }

    /** The newest confirmation, for datagrams to other routers; null when there is none. */
    public fun confirmation(now: Timestamp): Confirmation? = view { _, state -> state.confirmation(now) }

    /** The key-value service returned its document, or null when none is stored. */
    public fun documentRead(document: AcceptedDocument?, now: Timestamp): List<NodeEffect> =
        step(now) { serviceAnswered(document) }

    /** The key-value service confirmed that [revision] is the newest. */
    public fun revisionConfirmed(revision: Revision, now: Timestamp): List<NodeEffect> =
        step(now) { serviceConfirmed(revision) }

    /** A read of the key-value service failed. */
    public fun platformFailed(now: Timestamp): List<NodeEffect> = step(now) { serviceFailed() }

    /** A datagram of a peer carried [confirmation]. */
    public fun confirmationReceived(confirmation: Confirmation, now: Timestamp): List<NodeEffect> =
        step(now) { peerConfirmed(confirmation) }

    /** A datagram of [router] arrived, which holds [revision]. */
    public fun peerRevision(router: RouterId, revision: Revision, now: Timestamp): List<NodeEffect> =
        step(now) { noteHolder(router, revision) }

    /** A message of [from] arrived; messages that do not concern the document are ignored. */
    public fun messageReceived(from: RouterId, message: PeerMessage, now: Timestamp): List<NodeEffect> =
        when (message) {
            is DocumentAnnounce -> step(now) { announced(from, message) }
            is DocumentRequest -> step(now) { requested(from, message) }
            is DocumentBody -> bodyReceived(from, message, now)
            else -> emptyList()
        }

    /** Parses before taking the locks, since a document of the design size takes a tenth of a second. */
    private fun bodyReceived(from: RouterId, message: DocumentBody, now: Timestamp): List<NodeEffect> {
        val envelope = DocumentEnvelope.decompress(message.body)?.let(DocumentEnvelope::decode)
        val held = document()?.revision ?: Revision.NONE
        if (envelope != null && envelope.revision <= held) return emptyList()
        val accepted = envelope?.accepted()
        return step(now) { bodyReceived(from, accepted) }
    }

    /** The failure detector's view changed to [members], which may include this router. */
    public fun membersChanged(members: List<Member>, now: Timestamp): List<NodeEffect> =
        step(now) { membersListed(members, failureDomain) }

    /** Time passed. */
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

    /** Takes the locks in the same order as [step]. */
    private fun <T> view(read: (HeldDocument?, DocumentState) -> T): T = states.locked {
        documents.locked { read(documents[Unit], states[Unit] ?: DocumentState.initial(self)) }
    }

    private companion object {
        const val OWNER = "DocumentController"
    }
}
