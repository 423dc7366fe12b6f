package azuredale.platform

import azuredale.directory.ServerDirectory
import azuredale.freshness.CatalogRead
import azuredale.freshness.DirectoryRead
import azuredale.freshness.EvacuationTable
import azuredale.freshness.OperatorRead
import azuredale.freshness.StoreReader
import azuredale.identity.FailureDomain
import azuredale.identity.ServerId
import azuredale.store.KeyValueService
import azuredale.store.ListResult
import azuredale.store.ReadResult
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.store.StoredItem
import azuredale.store.StoredValue
import azuredale.time.Timestamp

/**
 * Reads and decodes the operators' catalog and the backend servers' registrations in the store.
 *
 * @param readsEvacuations whether operators evacuate failure domains. The catalog and the evacuations are then read by
 *   one call, so that they cost no more than the catalog alone.
 * @param observesColdServers whether requests to servers that have just started are bounded.
 * @param decodeCatalog runs the decoder of a catalog, whose stored value has the given number of bytes.
 */
internal class PlatformStoreReader(
    private val service: KeyValueService,
    private val readsEvacuations: Boolean = false,
    private val observesColdServers: Boolean = false,
    private val decodeCatalog: suspend (Int, () -> CatalogRead) -> CatalogRead = { _, decode -> decode() },
) : StoreReader {
    override suspend fun readCatalog(isKnown: (StorePoint) -> Boolean, deadline: Timestamp): OperatorRead =
        if (readsEvacuations) readOperatorKeys(isKnown, deadline) else OperatorRead(readCatalogKey(isKnown, deadline))

    private suspend fun readCatalogKey(isKnown: (StorePoint) -> Boolean, deadline: Timestamp): CatalogRead =
        when (val read = service.read(StoreKey.CATALOG, deadline)) {
            is ReadResult.Failed -> CatalogRead.Failed(read.failure)
            is ReadResult.Missing -> CatalogRead.Missing(read.era)
            is ReadResult.Found -> catalogRead(read.stored, read.era, isKnown)
        }

    private suspend fun readOperatorKeys(isKnown: (StorePoint) -> Boolean, deadline: Timestamp): OperatorRead =
        when (val list = service.list(StoreKey.OPERATORS, deadline)) {
            is ListResult.Failed -> OperatorRead(CatalogRead.Failed(list.failure))
            is ListResult.Found -> {
                val catalog = list.items.firstOrNull { it.key == StoreKey.CATALOG }?.value
                val (valid, malformed) = evacuatedDomains(list.items).partition(::isDomainName)
                OperatorRead(
                    catalog =
                        catalog?.let { catalogRead(it, list.point.era, isKnown) }
                            ?: CatalogRead.Missing(list.point.era),
                    evacuations =
                        EvacuationTable(list.point, valid.take(MAXIMUM_DOMAINS).mapTo(HashSet(), ::FailureDomain)),
                    malformed = malformed + valid.drop(MAXIMUM_DOMAINS),
                )
            }
        }

    private fun evacuatedDomains(items: List<StoredItem>): List<String> = items
        .filter { it.key.startsWith(StoreKey.EVACUATIONS) }
        .map { it.key.removePrefix(StoreKey.EVACUATIONS) }

    private fun isDomainName(name: String) = name.isNotEmpty() && name.length <= MAXIMUM_NAME_CHARACTERS

    private suspend fun catalogRead(
        stored: StoredValue,
        era: StoreEra,
        isKnown: (StorePoint) -> Boolean,
    ): CatalogRead {
        val point = StorePoint(era, stored.version.value)
        return if (isKnown(point)) CatalogRead.Unchanged(point) else decode(stored, point)
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
                val entries = decoded.values.filterIsInstance<ServerRegistration.Entry>().map(::observed)
                DirectoryRead.Found(
                    ServerDirectory(list.point, entries.associateBy { it.id }),
                    decoded.filterValues { it is ServerRegistration.Malformed }.mapValues { it.value.toString() },
                )
            }
        }

    private fun observed(registration: ServerRegistration.Entry) =
        if (observesColdServers) registration.entry else registration.entry.copy(isCold = false)

    private fun registration(id: ServerId, stored: StoredValue) = try {
        ServerRegistration.decode(id, stored.bytes)
    } catch (exception: IllegalArgumentException) {
        ServerRegistration.Malformed(exception.message.orEmpty())
    }

    /** Also builds the catalog's tables where [decodeCatalog] runs. */
    private suspend fun decode(stored: StoredValue, point: StorePoint): CatalogRead =
        decodeCatalog(stored.size) { catalog(stored, point) }

    private fun catalog(stored: StoredValue, point: StorePoint): CatalogRead = try {
        val message = platformJson.decodeFromString<CatalogMessage>(stored.bytes.decodeToString())
        CatalogRead.Unknown(message.toCatalog(point))
    } catch (exception: IllegalArgumentException) {
        CatalogRead.Malformed(point, exception.message.orEmpty())
    }

    private companion object {
        /** Far more failure domains than a fleet has; the table travels in every report between routers. */
        const val MAXIMUM_DOMAINS = 64
        const val MAXIMUM_NAME_CHARACTERS = 64
    }
}
