@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.DirectoryAssembler
import azuredale.directory.DirectoryVersion
import azuredale.directory.RecentRegistrations
import azuredale.directory.RegistrationChange
import azuredale.directory.ServerDirectory
import azuredale.freshness.StoreView
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.SoftwareVersion
import azuredale.time.Timestamp
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Registration of a backend server; has every field of a [BackendEntry] but the id. */
@Serializable
internal class RegistrationEntry(
    @CborLabel(1) val pool: String,
    @CborLabel(2) val host: String,
    @CborLabel(3) val port: Int,
    @CborLabel(4) val failureDomain: String,
    @CborLabel(5) val slots: Int,
    @CborLabel(6) val isDraining: Boolean = false,
    @CborLabel(7) val startedAtMilliseconds: Long? = null,
    @CborLabel(8) val isCold: Boolean = false,
    @CborLabel(9) val softwareVersion: String = "",
) {
    fun toEntry(id: ServerId): BackendEntry = BackendEntry(
        id = id,
        pool = PoolId(pool),
        address = NetworkAddress(host, port),
        failureDomain = FailureDomain(failureDomain),
        slots = slots,
        state = if (isDraining) BackendState.DRAINING else BackendState.READY,
        startedAtMilliseconds = startedAtMilliseconds,
        isCold = isCold,
        softwareVersion = SoftwareVersion(softwareVersion),
    )

    companion object {
        fun of(entry: BackendEntry) = RegistrationEntry(
            pool = entry.pool.name,
            host = entry.address.host,
            port = entry.address.port,
            failureDomain = entry.failureDomain.name,
            slots = entry.slots,
            isDraining = entry.state == BackendState.DRAINING,
            startedAtMilliseconds = entry.startedAtMilliseconds,
            isCold = entry.isCold,
            softwareVersion = entry.softwareVersion.name,
        )
    }
}

/** Change of one registration, as of [point]; without a [registration], the server has left. */
@Serializable
internal class RegistrationChangeEntry(
    @CborLabel(1) val server: String,
    @CborLabel(2) val point: PointEntry,
    @CborLabel(3) val registration: RegistrationEntry? = null,
)

/** The sender's directory: the point at which it was read, number of servers, and its latest changes. */
@Serializable
internal class DirectoryNews(
    @CborLabel(1) val point: PointEntry,
    @CborLabel(2) val servers: Int,
    @CborLabel(3) val changes: List<RegistrationChangeEntry> = emptyList(),
)

/**
 * Passes on changes of the server directory in the reports of fleets with relays, so that few routers read the store.
 *
 * @param adopt adopts a directory that results from a report, with the earliest time at which it was the newest.
 */
internal class DirectoryExchange(
    private val view: StoreView,
    private val adopt: (ServerDirectory, Timestamp) -> Unit,
) {
    private val recent = RecentRegistrations()
    private val assembler = DirectoryAssembler()
    private var learned = ServerDirectory.EMPTY

    /** Number of directories adopted from reports, for metrics. */
    var adoptions: Long = 0
        private set

    /** Begins a round of reports, each of which contains the same part of the changes. */
    fun begin(now: Timestamp) = recordChanges(now)

    /** Returns this router's directory and its latest changes for a report of [scope]. */
    fun news(scope: ReportScope, now: Timestamp): DirectoryNews {
        val directory = view.readDirectory
        // The relay already knows what this router learned from it.
        val changes = recent.select(MAXIMUM_CHANGES, isOwnRead = scope == ReportScope.ROUTER, now)
        return DirectoryNews(PointEntry.of(directory.point), directory.entries.size, changes.map(::entryOf))
    }

    /** Adopts the directory that [report] announces as the newest at [provenAt] if its changes suffice for it. */
    fun apply(report: PeerReport, provenAt: Timestamp, now: Timestamp) {
        val news = report.directoryNews ?: return
        val digest = report.directory.version.toInt()
        val before = view.readDirectory
        if (digest == before.digest) return
        val version = DirectoryVersion(news.point.toPoint(), news.servers, digest)
        val assembled = assembler.assemble(before, news.changes.map(::changeOf), version) ?: return
        recordChanges(now)
        learned = assembled
        adoptions++
        adopt(assembled, provenAt)
    }

    /** Whether [report] names a directory that was read later than this router's own. */
    fun isLater(report: PeerReport): Boolean {
        val news = report.directoryNews ?: return true
        return news.point.toPoint() > view.readDirectory.point
    }

    private fun recordChanges(now: Timestamp) {
        val directory = view.readDirectory
        recent.update(directory, isOwnRead = directory !== learned, now)
    }

    private fun entryOf(change: RegistrationChange) =
        RegistrationChangeEntry(change.id.name, PointEntry.of(change.point), change.entry?.let(RegistrationEntry::of))

    private fun changeOf(entry: RegistrationChangeEntry): RegistrationChange {
        val id = ServerId(entry.server)
        return RegistrationChange(id, entry.registration?.toEntry(id), entry.point.toPoint())
    }

    private companion object {
        /** Keeps a report of a relay within 16 KB; further changes follow in the next reports. */
        const val MAXIMUM_CHANGES = 32
    }
}
