package azuredale.platform

import azuredale.directory.ServerDirectory
import azuredale.freshness.CatalogRead
import azuredale.freshness.DirectoryRead
import azuredale.freshness.StoreReader
import azuredale.identity.Revision
import azuredale.identity.ServerId
import azuredale.store.KeyValueService
import azuredale.store.ListResult
import azuredale.store.ReadResult
import azuredale.time.Timestamp

/** Reads and decodes the operators' catalog and the backend servers' registrations in the store. */
internal class PlatformStoreReader(private val service: KeyValueService) : StoreReader {
    override suspend fun readCatalog(known: Revision, deadline: Timestamp): CatalogRead =
        when (val read = service.read(StoreKey.CATALOG, deadline)) {
            is ReadResult.Failed -> CatalogRead.Failed(read.failure)
            is ReadResult.Missing -> CatalogRead.Missing
            is ReadResult.Found -> {
                val revision = Revision(read.stored.version.value)
                if (revision <= known) CatalogRead.Unchanged(revision) else decode(read.stored.bytes, revision)
            }
        }

    override suspend fun readDirectory(deadline: Timestamp): DirectoryRead =
        when (val list = service.list(StoreKey.SERVERS, deadline)) {
            is ListResult.Failed -> DirectoryRead.Failed(list.failure)
            is ListResult.Found -> {
                val decoded =
                    list.items.associate {
                        val id = it.key.removePrefix(StoreKey.SERVERS)
                        id to ServerRegistration.decode(ServerId(id), it.value.bytes)
                    }
                val entries = decoded.values.filterIsInstance<ServerRegistration.Entry>().map { it.entry }
                DirectoryRead.Found(
                    ServerDirectory(list.revision, entries.associateBy { it.id }),
                    decoded.filterValues { it is ServerRegistration.Malformed }.mapValues { it.value.toString() },
                )
            }
        }

    private fun decode(bytes: ByteArray, revision: Revision): CatalogRead = try {
        CatalogRead.Newer(platformJson.decodeFromString<CatalogMessage>(bytes.decodeToString()).toCatalog(revision))
    } catch (exception: IllegalArgumentException) {
        CatalogRead.Malformed(revision, exception.message.orEmpty())
    }
}
