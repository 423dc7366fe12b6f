package azuredale.freshness

import azuredale.catalog.Catalog
import azuredale.directory.ServerDirectory
import azuredale.identity.Revision
import azuredale.store.CallFailure
import azuredale.time.Timestamp

/** Result of reading the operators' configuration from the store. */
public sealed interface CatalogRead {
    /** The stored catalog is newer than the known revision. */
    public data class Newer(val catalog: Catalog) : CatalogRead

    /** The stored catalog has the known revision. */
    public data class Unchanged(val revision: Revision) : CatalogRead

    /** The store holds no catalog yet. */
    public data object Missing : CatalogRead

    /** The stored value is newer but cannot be decoded. */
    public data class Malformed(
        val revision: Revision,
        val detail: String,
    ) : CatalogRead

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
    /** Reads the catalog and evacuations; a catalog with revision [known] is not decoded again. */
    public suspend fun readCatalog(known: Revision, deadline: Timestamp): OperatorRead

    /** Reads all backend server registrations. */
    public suspend fun readDirectory(deadline: Timestamp): DirectoryRead
}
