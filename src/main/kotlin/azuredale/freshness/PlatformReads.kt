package azuredale.freshness

import azuredale.catalog.Catalog
import azuredale.directory.ServerDirectory
import azuredale.identity.Revision
import azuredale.store.CallFailure
import azuredale.time.Timestamp

/** Result of reading the operators' configuration. */
public sealed interface CatalogRead {
    /** The stored catalog is newer than the known one. */
    public data class Newer(val catalog: Catalog) : CatalogRead

    /** The stored catalog is the known one. */
    public data class Unchanged(val revision: Revision) : CatalogRead

    /** No catalog is stored yet. */
    public data object Missing : CatalogRead

    /** A newer value is stored that cannot be decoded. */
    public data class Malformed(
        val revision: Revision,
        val detail: String,
    ) : CatalogRead

    /** The store gave no usable answer. */
    public data class Failed(val failure: CallFailure) : CatalogRead
}

/** Result of reading the registered backend servers. */
public sealed interface DirectoryRead {
    /** The registrations; [malformed] ones name no server and are described for the log. */
    public data class Found(
        val directory: ServerDirectory,
        val malformed: Map<String, String>,
    ) : DirectoryRead

    /** The store gave no usable answer. */
    public data class Failed(val failure: CallFailure) : DirectoryRead
}

/** Linearizable reads of what routers follow; the adapter knows keys and formats. */
public interface PlatformReads {
    /** Reads the catalog; a value of revision [known] is not decoded again. */
    public suspend fun catalog(known: Revision, deadline: Timestamp): CatalogRead

    /** Reads the registrations of all backend servers. */
    public suspend fun directory(deadline: Timestamp): DirectoryRead
}
