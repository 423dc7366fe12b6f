@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.MemberUpdate
import azuredale.membership.OrdinalSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Type of a probe datagram. */
@Serializable(with = ProbeKindSerializer::class)
public enum class ProbeKind {
    PING,
    ACKNOWLEDGEMENT,
    INDIRECT_PING,
    INDIRECT_ACKNOWLEDGEMENT,

    /** Requests a part of the member table. The first request also announces the sender. */
    JOIN,

    /** Reply to [JOIN] with a part of the member table. */
    MEMBER_PIECE,
}

internal object ProbeKindSerializer : OrdinalSerializer<ProbeKind>("azuredale.ProbeKind", ProbeKind.entries)

/**
 * Latest confirmation of a document revision known to the sender.
 *
 * @property ageMilliseconds time since the key-value service confirmed the revision. Needs no synchronized clocks.
 */
@Serializable
public data class Confirmation(
    @CborLabel(1) val revision: Revision,
    @CborLabel(2) val ageMilliseconds: Long,
) {
    public companion object {
        /** Used when a datagram has no confirmation or its age cannot be determined. Confirms nothing. */
        public val NONE: Confirmation = Confirmation(Revision.NONE, 31_536_000_000L)
    }
}

/**
 * Datagram of the failure detector.
 *
 * @property sequence sequence number that matches an acknowledgement to its ping.
 * @property sentMilliseconds time of sending, in milliseconds since the sender's process started. Receivers derive from
 *   it a limit on the age of datagrams that waited in a socket buffer.
 * @property target router to probe or that was probed, for indirect probes. For [ProbeKind.JOIN] and
 *   [ProbeKind.MEMBER_PIECE], the last router of the previous part; null means the beginning or the end.
 * @property fingerprint hash of the sender's table of live members. If the hashes differ, the routers exchange tables.
 * @property updates membership changes, as many as fit into the datagram.
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
