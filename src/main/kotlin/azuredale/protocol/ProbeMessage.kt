@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.Member
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What a probe datagram asks or answers. */
@Serializable
public enum class ProbeKind { PING, ACKNOWLEDGEMENT, INDIRECT_PING, INDIRECT_ACKNOWLEDGEMENT, JOIN }

/**
 * Newest confirmation of a document revision known to the sender.
 *
 * @property ageMilliseconds time since the key-value service confirmed the revision, so clocks need not agree.
 */
@Serializable
public data class Confirmation(
    @CborLabel(1) val revision: Revision,
    @CborLabel(2) val ageMilliseconds: Long,
)

/**
 * Datagram of the failure detector.
 *
 * @property sequence pairs an acknowledgement with its ping.
 * @property target the router to probe on the sender's behalf, for indirect pings.
 * @property updates membership changes piggybacked on the datagram, bounded in number.
 */
@Serializable
public data class ProbeMessage(
    @CborLabel(1) val kind: ProbeKind,
    @CborLabel(2) val sender: RouterId,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val target: RouterId? = null,
    @CborLabel(5) val revision: Revision = Revision.NONE,
    @CborLabel(6) val confirmation: Confirmation? = null,
    @CborLabel(7) val updates: List<Member> = emptyList(),
)
