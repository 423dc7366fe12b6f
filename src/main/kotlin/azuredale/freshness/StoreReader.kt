package azuredale.freshness

import azuredale.catalog.Catalog
import azuredale.directory.ServerDirectory
import azuredale.store.CallFailure
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp

/** Result of reading the operators' configuration from the store. */
public sealed interface CatalogRead {
    /** The store's answer in the given [era]. */
    public sealed interface Answered : CatalogRead {
        public val era: StoreEra
    }

    /** The stored catalog is not known yet. */
    public data class Unknown(val catalog: Catalog) : Answered {
        override val era: StoreEra get() = catalog.mark.point.era
    }

    /** The stored catalog is the known one that was written at [point]. */
    public data class Unchanged(val point: StorePoint) : Answered {
        override val era: StoreEra get() = point.era
    }

    /** The store holds no catalog. */
    public data class Missing(override val era: StoreEra = StoreEra.NONE) : Answered

    /** The value that was stored at [point] cannot be decoded. */
    public data class Malformed(
        val point: StorePoint,
        val detail: String,
    ) : Answered {
        override val era: StoreEra get() = point.era
    }

    /** The store gave no usable response. */
    public data class Failed(val failure: CallFailure) : CatalogRead
}

/**
 * Result of reading what operators write for the routers.
 *
 * @property evacuations null if the store gave no usable response, or if operators evacuate no failure domains.
 * @property malformed keys of evacuations that name no failure domain.
 */
public data class OperatorRead(
    val catalog: CatalogRead,
    val evacuations: EvacuationTable? = null,
    val malformed: List<String> = emptyList(),
)

/** Result of reading the backend server registrations from the store. */
public sealed interface DirectoryRead {
    /** The valid registrations; [malformed] maps the id of each invalid one to a description for the log. */
    public data class Found(
        val directory: ServerDirectory,
        val malformed: Map<String, String>,
    ) : DirectoryRead

    /** The store gave no usable response. */
    public data class Failed(val failure: CallFailure) : DirectoryRead
}

/** Linearizable reads of the catalog and the server directory. The adapter defines keys and encodings. */
public interface StoreReader {
    /** Reads the catalog and evacuations; a catalog whose point [isKnown] is not decoded. */
    public suspend fun readCatalog(isKnown: (StorePoint) -> Boolean, deadline: Timestamp): OperatorRead

    /** Reads all backend server registrations. */
    public suspend fun readDirectory(deadline: Timestamp): DirectoryRead
}
