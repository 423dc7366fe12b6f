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

/** How the failure detector sees a router. */
@Serializable
public enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/**
 * A router as seen by this one.
 *
 * @property peerAddress TCP address for messages between routers.
 * @property probeAddress UDP address of the failure detector.
 * @property callerAddress TCP address given to callers.
 * @property weight relative size of the VM, from the settings.
 * @property isDraining whether the router takes no new work.
 */
@Serializable
public data class Member(
    @CborLabel(1) val router: RouterId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val state: MemberState,
    @CborLabel(4) val region: Region,
    @CborLabel(5) val failureDomain: FailureDomain,
    @CborLabel(6) val peerAddress: NetworkAddress,
    @CborLabel(7) val probeAddress: NetworkAddress,
    @CborLabel(8) val callerAddress: NetworkAddress,
    @CborLabel(9) val weight: Double = 1.0,
    @CborLabel(10) val isDraining: Boolean = false,
    @CborLabel(11) val revision: Revision = Revision.NONE,
)
