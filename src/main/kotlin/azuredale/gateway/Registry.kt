package azuredale.gateway

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.WriteResult
import azuredale.time.Timestamp

/** Registration of a router: its id and the address for messages from other routers. */
public data class RegisteredRouter(
    val router: RouterId,
    val address: NetworkAddress,
)

/** Registry of routers in the store, through which routers discover each other. */
public interface Registry {
    /** Returns the registered routers, or null if the store gave no usable response. */
    public suspend fun routers(deadline: Timestamp): List<RegisteredRouter>?

    /** Acquires a lease of [seconds]. */
    public suspend fun lease(seconds: Long, deadline: Timestamp): LeaseResult

    /** Renews [lease]. */
    public suspend fun renew(lease: LeaseId, deadline: Timestamp): LeaseResult

    /** Stores [entry]; it expires with [lease]. */
    public suspend fun register(entry: RegisteredRouter, lease: LeaseId, deadline: Timestamp): WriteResult
}
