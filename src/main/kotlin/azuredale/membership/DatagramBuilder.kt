package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.time.Timestamp

/** State of this node that is included in every datagram sent in response to one event. */
internal class SendContext(
    val now: Timestamp,
    val revision: Revision,
    val confirmation: Confirmation?,
)

/** Builds datagrams that stay within the maximum datagram size. */
internal class DatagramBuilder(
    private val updateHandler: MemberUpdateHandler,
    private val table: MemberTable,
    private val gossip: GossipQueue,
    private val options: MembershipOptions,
    private val callbacks: MembershipCallbacks,
) {
    private val startedAt = updateHandler.self.incarnation.value

    /**
     * Document revision at the last event. Many callers hold a lock of higher rank than the document's, so they cannot
     * read the document itself.
     */
    @Volatile
    var lastRevision: Revision = Revision.NONE
        private set

    /** Bytes available for updates in one datagram. */
    val updateCapacityBytes: Int = options.maximumDatagramBytes - FIXED_DATAGRAM_BYTES

    /** Reads the document state of this node. Must not be called while holding the lock of the member table. */
    fun context(now: Timestamp): SendContext {
        val revision = callbacks.revision()
        lastRevision = revision
        return SendContext(now, revision, callbacks.confirmation(now))
    }

    /** Hash of the state of all live members, including this router. */
    fun fingerprint(): Int = table.fingerprint + updateHandler.self.stateHash()

    /** Requests the page of the receiver's member table that follows [position], and announces this router. */
    fun joinRequest(to: NetworkAddress, sequence: Long, position: RouterId?, context: SendContext): NodeEffect {
        val announcement = listOf(updateHandler.self.toUpdate(withProfile = true))
        return build(to, ProbeKind.JOIN, sequence, context, target = position, updates = announcement)
    }

    /** Probes [to]. A suspected or dead member is told its state, so that it can refute it. */
    fun ping(to: Member, sequence: Long, context: SendContext): NodeEffect {
        val directUpdates = if (to.state == MemberState.ALIVE) emptyList() else listOf(to)
        return build(to.probeAddress, ProbeKind.PING, sequence, context, directUpdates = directUpdates)
    }

    /**
     * Builds a datagram with [updates], or with updates from the gossip queue if [updates] is null. The state of the
     * members in [directUpdates] is always included.
     */
    fun build(
        to: NetworkAddress,
        kind: ProbeKind,
        sequence: Long,
        context: SendContext,
        target: RouterId? = null,
        directUpdates: List<Member> = emptyList(),
        updates: List<MemberUpdate>? = null,
    ): NodeEffect {
        val direct = directUpdates.map { it.toUpdate(withProfile = false) }
        val queued =
            updates
                ?: gossip.take(
                    updateCapacityBytes - direct.sumOf { it.estimatedBytes() },
                    options.transmissions(
                        table.live.size + 1,
                    ),
                )
        val elapsed = (context.now.microseconds - startedAt) / Timestamp.MICROSECONDS_PER_MILLISECOND
        val message =
            ProbeMessage(
                kind,
                updateHandler.self.router,
                sequence,
                target,
                context.revision,
                context.confirmation,
                direct + queued,
                elapsed,
                fingerprint(),
            )
        return NodeEffect.SendDatagram(to, message)
    }

    private companion object {
        /** Upper bound on the size of a datagram without updates, for router names of up to 64 bytes. */
        const val FIXED_DATAGRAM_BYTES = 220
    }
}
