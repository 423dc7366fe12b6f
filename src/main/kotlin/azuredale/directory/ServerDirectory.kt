package azuredale.directory

import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.store.StorePoint

/**
 * Immutable snapshot of the registered backend servers.
 *
 * @property point point in the store's history at which the snapshot was read; it orders snapshots.
 */
public class ServerDirectory(
    public val point: StorePoint,
    public val entries: Map<ServerId, BackendEntry>,
) {
    private val readyByPool: Map<PoolId, List<BackendEntry>> =
        entries.values
            .filter { it.state == BackendState.READY }
            .sortedBy { it.id.name }
            .groupBy { it.pool }

    /** The entries by the hash of their ids, as used in messages between routers. */
    internal val byIdHash: Map<Int, BackendEntry> = entries.values.associateBy { it.idHash }

    /** Hash of the entries, the same on every router for equal entries regardless of [point]. */
    public val digest: Int =
        entries.values.sortedBy { it.id.name }.fold(
            1,
        ) { hash, entry -> 31 * hash + entry.digest() }

    /** Servers of [pool] that accept new requests. */
    public fun ready(pool: PoolId): List<BackendEntry> = readyByPool[pool].orEmpty()

    /** Whether [id] is registered and accepts new requests. */
    public fun isReady(id: ServerId): Boolean = entries[id]?.state == BackendState.READY

    public companion object {
        /** Initial snapshot without servers. */
        public val EMPTY: ServerDirectory = ServerDirectory(StorePoint.NONE, emptyMap())
    }
}

/** Must be equal on every router and in every release; hash codes of enum constants are not. */
private fun BackendEntry.digest(): Int {
    val coldness = if (isCold) "|cold" else ""
    return "${id.name}|$pool|$address|$startedAtMilliseconds|${state.name}$coldness".hashCode()
}
