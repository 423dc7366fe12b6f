package azuredale.routing

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * Question of a caller for router addresses.
 *
 * @property count most addresses wanted.
 * @property tickets tickets wanted for each address.
 */
public data class AddressQuery(
    val team: TeamId,
    val count: Int,
    val tickets: Int = 0,
)

/** A router that a caller may use, with tickets that only this router process accepts. */
public data class PlannedAddress(
    val router: RouterId,
    val address: NetworkAddress,
    val failureDomain: FailureDomain,
    val tickets: List<String> = emptyList(),
)

/** Answer to an [AddressQuery]; the caller asks again after [validUntil]. */
public data class AddressPlan(
    val addresses: List<PlannedAddress>,
    val validUntil: Timestamp,
)
