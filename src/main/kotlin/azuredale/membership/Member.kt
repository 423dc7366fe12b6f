@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.membership

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.Revision
import azuredale.identity.RouterId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** How the failure detector sees a router; of two claims with equal version the later entry wins. */
@Serializable(with = MemberStateSerializer::class)
public enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

internal object MemberStateSerializer :
    PositionSerializer<MemberState>("azuredale.MemberState", MemberState.entries)

/**
 * A router as seen by this one.
 *
 * @property version number of the router's own statements in this incarnation; it raises the number to refute a
 *   suspicion or to change its flags, so a refutation does not look like a restart.
 * @property peerAddress TCP address for messages between routers.
 * @property probeAddress UDP address of the failure detector.
 * @property callerAddress TCP address given to callers.
 * @property weight relative size of the VM, from the settings.
 * @property isDraining whether the router takes no new work.
 * @property revision document revision that the router last reported; zero before its first datagram.
 */
public data class Member(
    val router: RouterId,
    val incarnation: Incarnation,
    val state: MemberState,
    val region: Region,
    val failureDomain: FailureDomain,
    val peerAddress: NetworkAddress,
    val probeAddress: NetworkAddress,
    val callerAddress: NetworkAddress,
    val weight: Double = 1.0,
    val isDraining: Boolean = false,
    val revision: Revision = Revision.NONE,
    val version: Int = 0,
) {
    /** Whether the router may take part in work: alive, or suspected and not yet declared dead. */
    public val isLive: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT

    /** Whether what is known as this member replaces [update]. */
    internal fun supersedes(update: MemberUpdate): Boolean = when {
        incarnation != update.incarnation -> incarnation > update.incarnation
        version != update.version -> version > update.version
        else -> state > update.state
    }
}

/** What a router says of itself when it joins; constant within one incarnation. */
@Serializable
public data class MemberProfile(
    @CborLabel(1) val region: Region,
    @CborLabel(2) val failureDomain: FailureDomain,
    @CborLabel(3) @Serializable(with = AddressSerializer::class) val peerAddress: NetworkAddress,
    @CborLabel(4) @Serializable(with = AddressSerializer::class) val probeAddress: NetworkAddress,
    @CborLabel(5) @Serializable(with = AddressSerializer::class) val callerAddress: NetworkAddress,
    @CborLabel(6) val weight: Double = 1.0,
)

/**
 * A claim about a member, carried by datagrams.
 *
 * @property profile present when the receiver may not know this incarnation of the member.
 */
@Serializable
public data class MemberUpdate(
    @CborLabel(1) val router: RouterId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val version: Int = 0,
    @CborLabel(4) val state: MemberState = MemberState.ALIVE,
    @CborLabel(5) val isDraining: Boolean = false,
    @CborLabel(6) val profile: MemberProfile? = null,
) {
    /** Whether this claim replaces what is known as [known]. */
    internal fun supersedes(known: Member): Boolean = when {
        incarnation != known.incarnation -> incarnation > known.incarnation
        known.state == MemberState.LEFT -> false
        state == MemberState.LEFT -> true
        version != known.version -> version > known.version
        else -> state > known.state
    }

    /** The member that this claim describes; null when neither the claim nor [known] holds its profile. */
    internal fun toMember(known: Member?): Member? = profile?.let {
        Member(
            router,
            incarnation,
            state,
            it.region,
            it.failureDomain,
            it.peerAddress,
            it.probeAddress,
            it.callerAddress,
            it.weight,
            isDraining,
            Revision.NONE,
            version,
        )
    } ?: known
        ?.takeIf { it.incarnation == incarnation }
        ?.copy(state = state, isDraining = isDraining, version = version)
}

/** The claim that describes this member, with its profile when [withProfile] is set. */
internal fun Member.toUpdate(withProfile: Boolean): MemberUpdate = MemberUpdate(
    router,
    incarnation,
    version,
    state,
    isDraining,
    if (withProfile) {
        MemberProfile(region, failureDomain, peerAddress, probeAddress, callerAddress, weight)
    } else {
        null
    },
)
