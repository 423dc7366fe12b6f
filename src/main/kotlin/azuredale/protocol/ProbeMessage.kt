@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.MemberUpdate
import azuredale.membership.OrdinalSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What a probe datagram asks or answers. */
@Serializable(with = ProbeKindSerializer::class)
public enum class ProbeKind {
    PING,
    ACKNOWLEDGEMENT,
    INDIRECT_PING,
    INDIRECT_ACKNOWLEDGEMENT,

    /** Asks for a piece of the member table; the first one announces the sender. */
    JOIN,

    /** Answers [JOIN] with a piece of the member table. */
    MEMBER_PIECE,
}

internal object ProbeKindSerializer : OrdinalSerializer<ProbeKind>("azuredale.ProbeKind", ProbeKind.entries)

/**
 * Newest confirmation of a document revision known to the sender.
 *
 * @property ageMilliseconds time since the key-value service confirmed the revision, so clocks need not agree.
 */
@Serializable
public data class Confirmation(
    @CborLabel(1) val revision: Revision,
    @CborLabel(2) val ageMilliseconds: Long,
) {
    public companion object {
        /** Stands for a datagram whose confirmation is missing or cannot be dated; it confirms nothing. */
        public val NONE: Confirmation = Confirmation(Revision.NONE, 31_536_000_000L)
    }
}

/**
 * Datagram of the failure detector.
 *
 * @property sequence pairs an acknowledgement with its ping.
 * @property sentMilliseconds time of sending since the sender's process started, from which a receiver bounds the age
 *   of a datagram that waited in a socket buffer.
 * @property target the router to probe or that was probed, for indirect probes; for [ProbeKind.JOIN] and
 *   [ProbeKind.MEMBER_PIECE] the last router of the piece before, where null means the beginning or the end.
 * @property fingerprint hash of the sender's table of live members; a difference starts an exchange.
 * @property updates membership changes, bounded by the datagram's size.
 */
@Serializable
public data class ProbeMessage(
    @CborLabel(1) val kind: ProbeKind,
    @CborLabel(2) val sender: RouterId,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val target: RouterId? = null,
    @CborLabel(5) val revision: Revision = Revision.NONE,
    @CborLabel(6) val confirmation: Confirmation? = null,
    @CborLabel(7) val updates: List<MemberUpdate> = emptyList(),
    @CborLabel(8) val sentMilliseconds: Long = 0,
    @CborLabel(9) val fingerprint: Int = 0,
)
