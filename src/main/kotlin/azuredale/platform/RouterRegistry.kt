package azuredale.platform

import azuredale.gateway.RegisteredRouter
import azuredale.gateway.Registry
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.ListResult
import azuredale.store.WriteResult
import azuredale.time.Timestamp

/**
 * Router discovery through the store: each router writes its address to a key under [StoreKey.ROUTERS]. The key is
 * removed when the router's lease ends.
 */
internal class RouterRegistry(private val service: KeyValueService) : Registry {
    override suspend fun routers(deadline: Timestamp): List<RegisteredRouter>? =
        when (val list = service.list(StoreKey.ROUTERS, deadline)) {
            is ListResult.Failed -> null
            is ListResult.Found ->
                list.items.mapNotNull { item ->
                    NetworkAddress.parse(item.value.bytes.decodeToString())?.let {
                        RegisteredRouter(RouterId(item.key.removePrefix(StoreKey.ROUTERS)), it)
                    }
                }
        }

    override suspend fun lease(seconds: Long, deadline: Timestamp): LeaseResult = service.grantLease(seconds, deadline)

    override suspend fun renew(lease: LeaseId, deadline: Timestamp): LeaseResult = service.keepAlive(lease, deadline)

    override suspend fun register(entry: RegisteredRouter, lease: LeaseId, deadline: Timestamp): WriteResult {
        val key = StoreKey.ROUTERS + entry.router
        val value = entry.address.toString().encodeToByteArray()
        val first = service.write(key, value, KeyVersion.ABSENT, deadline, lease)
        // Replaces the key left by an earlier process of this router, whatever its lease.
        val present = (first as? WriteResult.Conflict)?.current ?: return first
        return service.write(key, value, present.version, deadline, lease)
    }
}
