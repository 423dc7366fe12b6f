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

/**
 * State of a router according to the failure detector.
 *
 * The order of entries matters: of two updates with the same version, the one with the later entry takes precedence.
 */
@Serializable(with = MemberStateSerializer::class)
public enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

internal object MemberStateSerializer :
    OrdinalSerializer<MemberState>("azuredale.MemberState", MemberState.entries)

/**
 * State of a router as known to this node.
 *
 * @property version counter within this incarnation, incremented only by the router itself to refute a suspicion or to
 *   change its flags. It is separate from the incarnation, so a refutation is not mistaken for a restart.
 * @property peerAddress TCP address for messages between routers.
 * @property probeAddress UDP address of the failure detector.
 * @property callerAddress TCP address at which callers connect.
 * @property weight relative capacity of the VM, from the settings.
 * @property isDraining whether the router no longer accepts new work.
 * @property revision document revision that the router last reported, or zero before its first datagram.
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
    /** Whether the router counts as running: alive, or suspected but not yet declared dead. */
    public val isLive: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT

    /** Whether this state is newer than [update]. */
    internal fun supersedes(update: MemberUpdate): Boolean = when {
        incarnation != update.incarnation -> incarnation > update.incarnation
        version != update.version -> version > update.version
        else -> state > update.state
    }
}

/** Properties that a router announces when it joins. They do not change within one incarnation. */
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
 * A state change of a member, as sent in datagrams.
 *
 * @property profile present if the receiver may not know this incarnation of the member yet.
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
    /** Whether this update replaces the state in [known]. */
    internal fun supersedes(known: Member): Boolean = when {
        incarnation != known.incarnation -> incarnation > known.incarnation
        known.state == MemberState.LEFT -> false
        state == MemberState.LEFT -> true
        version != known.version -> version > known.version
        else -> state > known.state
    }

    /** Returns the member that this update describes, or null if neither the update nor [known] has its profile. */
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

/** Returns an update that describes this member, including its profile if [withProfile] is set. */
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
