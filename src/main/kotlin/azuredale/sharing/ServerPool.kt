package azuredale.sharing

import azuredale.configuration.BackendServer
import azuredale.identity.ServerId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** The backend servers of one shard. */
internal class ServerPool(
    private val shard: ShardId,
    private val settings: SharingSettings,
    private val tables: AllotterTables,
) {
    private var members: List<ServerRow> = emptyList()

    val rows: List<ServerRow> get() = members

    /** Whether a server of the shard is not included yet, because requests of its previous shard are still running. */
    var isIncomplete: Boolean = false
        private set

    /** Total slots of the servers according to the document. */
    val slots: Int get() = members.sumOf { it.limit.slots }

    operator fun get(server: ServerId): ServerRow? = tables.servers[server]?.takeIf { it.shard == shard }

    fun hasFree(now: Timestamp): Boolean = members.any { it.isFree(now) }

    /** Applies the document's [entries]; a removed server remains with zero slots until its last grant ends. */
    fun adopt(entries: List<BackendServer>) {
        val listed = entries.associateBy { it.id }
        tables.servers.removeWhere { _, row -> row.shard == shard && row.id !in listed && row.inFlight == 0 }
        members.filter { it.id !in listed }.forEach { it.limit.resize(0) }
        entries.forEach(::adopt)
        members =
            tables.servers.entries.values
                .filter { it.shard == shard }
    }

    fun clear(): Unit = tables.servers.removeWhere { _, row -> row.shard == shard }

    private fun adopt(entry: BackendServer) {
        val known = tables.servers[entry.id]
        if (known == null || (known.shard != shard && known.inFlight == 0)) {
            tables.servers.put(
                entry.id,
                ServerRow(entry.id, shard, entry.failureDomain, entry.slots, settings.lookAhead),
            )
        } else if (known.shard == shard) {
            known.failureDomain = entry.failureDomain
            known.limit.resize(entry.slots)
        }
    }
}
