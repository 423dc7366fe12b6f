package azuredale.gateway

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.WriteResult
import azuredale.time.Timestamp

/** A router with the address at which other routers reach it. */
public data class Registered(
    val router: RouterId,
    val address: NetworkAddress,
)

/** Where routers make themselves known to each other. */
public interface Registry {
    /** The registered routers, or null when the store gave no usable answer. */
    public suspend fun routers(deadline: Timestamp): List<Registered>?

    /** Takes a lease of [seconds]. */
    public suspend fun lease(seconds: Long, deadline: Timestamp): LeaseResult

    /** Extends [lease]. */
    public suspend fun keep(lease: LeaseId, deadline: Timestamp): LeaseResult

    /** Registers [entry] for as long as [lease] lasts. */
    public suspend fun register(entry: Registered, lease: LeaseId, deadline: Timestamp): WriteResult
}
