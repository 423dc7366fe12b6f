package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.time.Timestamp

/** What every datagram sent in answer to one event says of this node. */
internal class SendContext(
    val now: Timestamp,
    val revision: Revision,
    val confirmation: Confirmation?,
)

/** Composes datagrams within the size bound. */
internal class DatagramWriter(
    private val claims: ClaimHandler,
    private val table: MemberTable,
    private val gossip: GossipQueue,
    private val options: MembershipOptions,
    private val links: MembershipLinks,
) {
    private val startedAt = claims.self.incarnation.value

    /** Revision at the last event; reading the document itself would take a lock below that of many callers. */
    @Volatile
    var lastRevision: Revision = Revision.NONE
        private set

    /** Bytes for updates in one datagram. */
    val room: Int = options.datagramBytes - FIXED_DATAGRAM_BYTES

    /** Reads the node's document state; to be called without the member table's lock. */
    fun context(now: Timestamp): SendContext {
        val revision = links.revision()
        lastRevision = revision
        return SendContext(now, revision, links.confirmation(now))
    }

    /** Hash of the claims about live members, this router included. */
    fun fingerprint(): Int = table.fingerprint + claims.self.claimHash()

    /** Asks the receiver for the piece of its member table after [position] and announces this router. */
    fun joinRequest(to: NetworkAddress, sequence: Long, position: RouterId?, context: SendContext): NodeEffect {
        val announcement = listOf(claims.self.toUpdate(withProfile = true))
        return send(to, ProbeKind.JOIN, sequence, context, target = position, updates = announcement)
    }

    /** Probes [to]; a suspected or dead member is told so, and can refute it. */
    fun ping(to: Member, sequence: Long, context: SendContext): NodeEffect {
        val ownClaims = if (to.state == MemberState.ALIVE) emptyList() else listOf(to)
        return send(to.probeAddress, ProbeKind.PING, sequence, context, ownClaims = ownClaims)
    }

    /** A datagram with [updates], or with claims to spread; [ownClaims] are sent in any case. */
    fun send(
        to: NetworkAddress,
        kind: ProbeKind,
        sequence: Long,
        context: SendContext,
        target: RouterId? = null,
        ownClaims: List<Member> = emptyList(),
        updates: List<MemberUpdate>? = null,
    ): NodeEffect {
        val own = ownClaims.map { it.toUpdate(withProfile = false) }
        val spread =
            updates
                ?: gossip.take(room - own.sumOf { it.estimatedBytes() }, options.transmissions(table.live.size + 1))
        val elapsed = (context.now.microseconds - startedAt) / Timestamp.MICROSECONDS_PER_MILLISECOND
        val message =
            ProbeMessage(
                kind,
                claims.self.router,
                sequence,
                target,
                context.revision,
                context.confirmation,
                own + spread,
                elapsed,
                fingerprint(),
            )
        return NodeEffect.SendDatagram(to, message)
    }

    private companion object {
        /** Upper estimate of a datagram without updates, with router names of 64 bytes. */
        const val FIXED_DATAGRAM_BYTES = 220
    }
}
