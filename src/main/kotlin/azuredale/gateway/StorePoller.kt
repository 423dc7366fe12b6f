package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.freshness.CatalogRead
import azuredale.freshness.DirectoryRead
import azuredale.freshness.EvacuationTable
import azuredale.freshness.StoreHealth
import azuredale.freshness.StoreReadSchedule
import azuredale.freshness.StoreReader
import azuredale.freshness.StoreView
import azuredale.identity.Revision
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.time.Clock
import azuredale.time.Timestamp

/**
 * Keeps a [StoreView] up to date: reads the store when this router's [StoreReadSchedule] is due, and logs changes.
 *
 * @param isHeld whether reads wait that no other router's report calls for.
 */
internal class StorePoller(
    private val view: StoreView,
    private val storeReader: StoreReader,
    private val clock: Clock,
    rank: () -> Int,
    private val changeDelayMilliseconds: () -> Long,
    private val isHeld: (Timestamp) -> Boolean,
    private val log: EventLog,
    private val onChange: (isCatalogNew: Boolean) -> Unit,
    private val onProof: () -> Unit,
) {
    private val catalogSchedule = StoreReadSchedule(rank)
    private val directorySchedule = StoreReadSchedule(rank)
    private val health = StoreHealth()
    private var isCatalogStale = false
    private var directoryStaleSince: Timestamp? = null
    private var isStoreLost = false
    private var wasCatalogFresh = false
    private var malformedRevision = Revision.NONE
    private var malformedEvacuations: List<String> = emptyList()
    private var knownMalformed: Map<String, String> = emptyMap()
    private var nextUnprovenLogAt = Timestamp.DISTANT_PAST

    /** Records that another router has newer data. */
    fun markOutdated(isCatalog: Boolean, isDirectory: Boolean) {
        isCatalogStale = isCatalogStale || isCatalog
        if (isDirectory && directoryStaleSince == null) directoryStaleSince = clock()
    }

    /** Adopts a directory that another router passed on; it was the newest at [provenAt] at the earliest. */
    fun directoryLearned(directory: ServerDirectory, provenAt: Timestamp) {
        directoryStaleSince = null
        adoptDirectory(directory, provenAt)
    }

    /** Updates whether the store answers; [lagMilliseconds] is the delay of this router's periodic work. */
    fun tick(lagMilliseconds: Long, now: Timestamp) {
        health.recordLag(lagMilliseconds, now)
        health.update(now)
    }

    /**
     * Why this router does not know which servers may be used; null if it does, or nobody can know more.
     *
     * A router whose directory is old although the store answers is behind, and other routers serve its callers better.
     */
    fun directoryFault(now: Timestamp): String? {
        if (!view.evacuations.isKnown) return "evacuated failure domains not known yet"
        if (health.isUnavailable) return null
        if (!view.isDirectoryFresh(now)) return "directory confirmed ${directoryAgeMilliseconds(now)} ms ago"
        if (!view.evacuations.isFresh(now)) return "evacuated failure domains not confirmed in time"
        return null
    }

    /** Milliseconds since the directory was known to be the newest; null if it never was, or its time is unknown. */
    fun directoryAgeMilliseconds(now: Timestamp): Long? = ageMilliseconds(view.directoryProof.at, now)

    private fun ageMilliseconds(provenAt: Timestamp, now: Timestamp): Long? = provenAt
        .takeIf { it > Timestamp.DISTANT_PAST }
        ?.let { now.microsecondsSince(it) / Timestamp.MICROSECONDS_PER_MILLISECOND }

    /** Whether [readCatalog] should be called now. */
    fun isCatalogDue(now: Timestamp): Boolean =
        (isCatalogStale || !isHeld(now)) && catalogSchedule.isDue(now, view.catalogProof.at, isCatalogStale)

    /** Whether [readDirectory] should be called now. */
    fun isDirectoryDue(now: Timestamp): Boolean {
        // No changes complete an empty copy, unless the servers are as new as this router.
        val delay = if (view.readDirectory === ServerDirectory.EMPTY) 0 else changeDelayMilliseconds()
        val isStale = directoryStaleSince?.let { now >= it.plusMilliseconds(delay) } ?: false
        if (!isStale && isHeld(now)) return false
        return directorySchedule.isDue(now, view.directoryProof.at, isStale || view.isRetentionOver(now))
    }

    /** Logs when the catalog becomes stale or fresh, which decides whether requests that need a key are refused. */
    fun logFreshnessChange(now: Timestamp) {
        val isFresh = view.isCatalogFresh(now)
        if (isFresh == wasCatalogFresh) return
        wasCatalogFresh = isFresh
        val event = if (isFresh) GatewayLogEvent.PROOF_REGAINED else GatewayLogEvent.PROOF_EXPIRED
        log.write(
            event,
            "revision" to view.revision,
            "version" to view.catalog?.version,
            "reader" to view.catalogProof.reader,
            "age" to ageMilliseconds(view.catalogProof.at, now),
        )
    }

    /** Logs, at most once a second, that a read of [table] was answered and proved nothing. */
    private fun logUnproven(table: String, known: Long, read: Long, now: Timestamp) {
        if (now < nextUnprovenLogAt) return
        nextUnprovenLogAt = now.plusSeconds(1)
        log.write(GatewayLogEvent.READ_PROVED_NOTHING, "table" to table, "known" to known, "read" to read)
    }

    /** Reads the catalog once and updates the view. */
    suspend fun readCatalog() {
        catalogSchedule.recordStart()
        isCatalogStale = false
        val sentAt = clock()
        health.recordSent(sentAt)
        val operators =
            storeReader.readCatalog(
                maxOf(view.revision, malformedRevision),
                sentAt.plusMilliseconds(StoreReadSchedule.CALL_TIMEOUT_MILLISECONDS),
            )
        val now = clock()
        operators.evacuations?.let { adoptEvacuations(it, operators.malformed, sentAt) }
        when (val read = operators.catalog) {
            is CatalogRead.Failed -> {
                catalogSchedule.recordFailure(now)
                storeFailed(read.failure, sentAt)
                return
            }
            is CatalogRead.Newer ->
                if (view.adoptCatalog(read.catalog, sentAt)) {
                    log.write(
                        GatewayLogEvent.CATALOG_ADOPTED,
                        "revision" to read.catalog.revision,
                        "version" to read.catalog.version,
                        "routes" to read.catalog.routes.size,
                        "teams" to read.catalog.teams.size,
                    )
                    onChange(true)
                }
            is CatalogRead.Unchanged -> {
                view.confirmCatalog(read.revision, sentAt)
                if (read.revision != view.revision) {
                    logUnproven("catalog", view.revision.value, read.revision.value, now)
                }
            }
            // Shared like any other proof, so that not every router of a fleet polls the store for the first catalog.
            is CatalogRead.Missing -> view.confirmCatalog(Revision.NONE, sentAt)
            is CatalogRead.Malformed -> {
                malformedRevision = read.revision
                log.write(GatewayLogEvent.CATALOG_REFUSED, "revision" to read.revision, "detail" to read.detail)
            }
        }
        catalogSchedule.recordSuccess(now)
        storeAnswered(sentAt, now)
        onProof()
    }

    /** Reads the server directory once and updates the view. */
    suspend fun readDirectory() {
        directorySchedule.recordStart()
        directoryStaleSince = null
        val sentAt = clock()
        health.recordSent(sentAt)
        val read = storeReader.readDirectory(sentAt.plusMilliseconds(StoreReadSchedule.CALL_TIMEOUT_MILLISECONDS))
        val now = clock()
        when (read) {
            is DirectoryRead.Failed -> {
                directorySchedule.recordFailure(now)
                storeFailed(read.failure, sentAt)
            }
            is DirectoryRead.Found -> {
                directorySchedule.recordSuccess(now)
                storeAnswered(sentAt, now)
                logMalformed(read.malformed)
                adoptDirectory(read.directory, sentAt)
                onProof()
            }
        }
    }

    private fun adoptDirectory(read: ServerDirectory, sentAt: Timestamp) {
        val outageUntil = health.lastUnansweredAt.takeIf { health.wasUnavailableSince(view.directoryProof.at) }
        val known = view.readDirectory.storeRevision
        val before =
            view.adoptDirectory(read, sentAt, outageUntil)
                ?: return logUnproven("directory", known, read.storeRevision, clock())
        if (before.entries == view.directory.entries) return
        logChanges(before, view.directory)
        onChange(false)
    }

    private fun storeFailed(failure: CallFailure, sentAt: Timestamp) {
        health.recordFailure(sentAt, failure.reason in REJECTIONS)
        if (!isStoreLost) log.write(GatewayLogEvent.STORE_LOST, "detail" to failure)
        isStoreLost = true
    }

    private fun storeAnswered(sentAt: Timestamp, now: Timestamp) {
        health.recordAnswer(sentAt, now)
        if (isStoreLost) log.write(GatewayLogEvent.STORE_REGAINED)
        isStoreLost = false
    }

    private fun adoptEvacuations(read: EvacuationTable, malformed: List<String>, sentAt: Timestamp) {
        view.evacuations.adopt(read, sentAt)
        if (malformed != malformedEvacuations && malformed.isNotEmpty()) {
            log.write(GatewayLogEvent.EVACUATION_MALFORMED, "names" to malformed.take(LOGGED_NAMES))
        }
        malformedEvacuations = malformed
    }

    private fun logMalformed(now: Map<String, String>) {
        now.filter { knownMalformed[it.key] != it.value }.forEach { (id, detail) ->
            log.write(GatewayLogEvent.ENTRY_MALFORMED, "server" to id, "detail" to detail)
        }
        knownMalformed = now
    }

    private fun logChanges(before: ServerDirectory, after: ServerDirectory) {
        (before.entries.keys + after.entries.keys).forEach { id ->
            val old = before.entries[id]
            val new = after.entries[id]
            if (old != new) {
                log.write(
                    GatewayLogEvent.DIRECTORY_CHANGED,
                    "server" to id,
                    "before" to describe(old),
                    "after" to describe(new),
                    "revision" to after.storeRevision,
                )
            }
        }
    }

    private fun describe(entry: BackendEntry?) = entry?.let {
        "${it.state} ${it.pool} ${it.address}" + if (it.isCold) " cold" else ""
    } ?: "gone"

    private companion object {
        const val LOGGED_NAMES = 3

        /** Failures after which the store has answered, or has closed the connection, whatever this router's delay. */
        val REJECTIONS =
            setOf(CallFailureReason.REFUSED, CallFailureReason.BUDGET_EXHAUSTED, CallFailureReason.ANSWER_LOST)
    }
}
