package azuredale.directory

import azuredale.identity.PoolId
import azuredale.identity.ServerId

/**
 * The registered backend servers at one moment. Immutable.
 *
 * @property storeRevision the store's revision when the list was read; later lists have higher ones.
 */
public class ServerDirectory(
    public val storeRevision: Long,
    public val entries: Map<ServerId, BackendEntry>,
) {
    private val readyByPool: Map<PoolId, List<BackendEntry>> =
        entries.values
            .filter { it.state == BackendState.READY }
            .sortedBy { it.id.name }
            .groupBy { it.pool }

    /** A number that is equal for equal lists on every router, whatever revision they were read at. */
    public val digest: Int =
        entries.values.sortedBy { it.id.name }.fold(
            1,
        ) { hash, entry -> 31 * hash + entry.digest() }

    /** Servers of [pool] that take new work. */
    public fun ready(pool: PoolId): List<BackendEntry> = readyByPool[pool].orEmpty()

    /** Whether [id] may be given new work. */
    public fun isReady(id: ServerId): Boolean = entries[id]?.state == BackendState.READY

    public companion object {
        /** No server is known. */
        public val EMPTY: ServerDirectory = ServerDirectory(0, emptyMap())
    }
}

/** The same on every router and in every release, which hash codes of enumerations are not. */
private fun BackendEntry.digest(): Int = "${id.name}|$pool|$address|$startedAtMilliseconds|${state.name}".hashCode()
