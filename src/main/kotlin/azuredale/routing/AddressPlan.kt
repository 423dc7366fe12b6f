package azuredale.routing

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * A caller's request for router addresses.
 *
 * @property count maximum number of addresses to return.
 * @property tickets number of tickets to issue for each address.
 */
public data class AddressQuery(
    val team: TeamId,
    val count: Int,
    val tickets: Int = 0,
)

/** Address of a router and the tickets issued for it. Only the current process of that router accepts them. */
public data class PlannedAddress(
    val router: RouterId,
    val address: NetworkAddress,
    val failureDomain: FailureDomain,
    val tickets: List<String> = emptyList(),
)

/** Response to an [AddressQuery]. The caller should query again after [validUntil]. */
public data class AddressPlan(
    val addresses: List<PlannedAddress>,
    val validUntil: Timestamp,
)
