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
import azuredale.store.StoredValue
import azuredale.time.Timestamp

/**
 * Reads and decodes the operators' catalog and the backend servers' registrations in the store.
 *
 * @param decodeCatalog runs the decoder of a catalog, whose stored value has the given number of bytes.
 */
internal class PlatformStoreReader(
    private val service: KeyValueService,
    private val decodeCatalog: suspend (Int, () -> CatalogRead) -> CatalogRead = { _, decode -> decode() },
) : StoreReader {
    override suspend fun readCatalog(known: Revision, deadline: Timestamp): CatalogRead =
        when (val read = service.read(StoreKey.CATALOG, deadline)) {
            is ReadResult.Failed -> CatalogRead.Failed(read.failure)
            is ReadResult.Missing -> CatalogRead.Missing
            is ReadResult.Found -> {
                val revision = Revision(read.stored.version.value)
                if (revision <= known) CatalogRead.Unchanged(revision) else decode(read.stored, revision)
            }
        }

    override suspend fun readDirectory(deadline: Timestamp): DirectoryRead =
        when (val list = service.list(StoreKey.SERVERS, deadline)) {
            is ListResult.Failed -> DirectoryRead.Failed(list.failure)
            is ListResult.Found -> {
                val decoded =
                    list.items.associate {
                        val id = it.key.removePrefix(StoreKey.SERVERS)
                        id to registration(ServerId(id), it.value)
                    }
                val entries = decoded.values.filterIsInstance<ServerRegistration.Entry>().map { it.entry }
                DirectoryRead.Found(
                    ServerDirectory(list.revision, entries.associateBy { it.id }),
                    decoded.filterValues { it is ServerRegistration.Malformed }.mapValues { it.value.toString() },
                )
            }
        }

    private fun registration(id: ServerId, stored: StoredValue) = try {
        ServerRegistration.decode(id, stored.bytes)
    } catch (exception: IllegalArgumentException) {
        ServerRegistration.Malformed(exception.message.orEmpty())
    }

    /** Also builds the catalog's tables where [decodeCatalog] runs. */
    private suspend fun decode(stored: StoredValue, revision: Revision): CatalogRead =
        decodeCatalog(stored.size) { catalog(stored, revision) }

    private fun catalog(stored: StoredValue, revision: Revision): CatalogRead = try {
        CatalogRead.Newer(
            platformJson.decodeFromString<CatalogMessage>(stored.bytes.decodeToString()).toCatalog(revision),
        )
    } catch (exception: IllegalArgumentException) {
        CatalogRead.Malformed(revision, exception.message.orEmpty())
    }
}
