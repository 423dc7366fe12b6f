package azuredale.platform

import azuredale.identity.PoolId
import azuredale.resumption.VersionNotes
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.ListResult
import azuredale.store.ReadResult
import azuredale.store.WriteResult
import azuredale.time.Timestamp

/** The notes of mixed pools in the store: one key under [StoreKey.VERSIONS] for each pool. */
internal class VersionNoteRegistry(private val service: KeyValueService) : VersionNotes {
    override suspend fun read(deadline: Timestamp): Set<PoolId>? =
        when (val list = service.list(StoreKey.VERSIONS, deadline)) {
            is ListResult.Failed -> null
            is ListResult.Found -> list.items.mapTo(HashSet()) { PoolId(it.key.removePrefix(StoreKey.VERSIONS)) }
        }

    override suspend fun add(pool: PoolId, deadline: Timestamp): Boolean =
        when (service.write(key(pool), ByteArray(0), KeyVersion.ABSENT, deadline)) {
            is WriteResult.Written, is WriteResult.Conflict -> true
            is WriteResult.NotWritten, is WriteResult.Unknown -> false
        }

    override suspend fun remove(pool: PoolId, deadline: Timestamp): Boolean =
        when (val read = service.read(key(pool), deadline)) {
            is ReadResult.Failed -> false
            is ReadResult.Missing -> true
            is ReadResult.Found -> service.remove(key(pool), read.stored.version, deadline) is WriteResult.Written
        }

    private fun key(pool: PoolId) = StoreKey.VERSIONS + pool
}
