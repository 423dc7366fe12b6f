package azuredale.gateway

import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.directory.ServerDirectory
import azuredale.freshness.CatalogRead
import azuredale.freshness.DirectoryRead
import azuredale.freshness.EvacuationTable
import azuredale.freshness.StoreHealth
import azuredale.freshness.StoreReadSchedule
import azuredale.freshness.StoreReader
import azuredale.freshness.StoreView
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Clock
import azuredale.time.Timestamp

/**
 * Keeps a [StoreView] up to date: reads the store when this router's [StoreReadSchedule] is due, and logs changes.
 *
 * @param isHeld whether reads wait that no other router's report calls for.
 * @param onEra called when the store's history has entered another era.
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
    private val onEra: () -> Unit = {},
) {
    private val catalogSchedule = StoreReadSchedule(rank)
    private val directorySchedule = StoreReadSchedule(rank)
    private val health = StoreHealth()
    private val changes = StoreChangeLog(view, log)
    private var isCatalogStale = false
    private var directoryStaleSince: Timestamp? = null
    private var isStoreLost = false
    private var wasEraSettled = true
    private var lastTickAt = clock()

    /** Point at which the store holds a catalog that is malformed or older than the known one. */
    private var unusablePoint = StorePoint.NONE

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
        val isStoreUnobserved = now > lastTickAt.plusMilliseconds(STANDSTILL_MILLISECONDS)
        if (health.isUnavailable || isStoreUnobserved) view.history.recordAway(since = lastTickAt, now)
        lastTickAt = now
        val isSettled = view.history.isSettled(now)
        if (isSettled && !wasEraSettled) {
            log.write(GatewayLogEvent.ERA_SETTLED, "era" to view.history.era)
            catalogSchedule.expedite(now)
        }
        wasEraSettled = isSettled
    }

    /** Whether the store counts as unavailable to this router. */
    val isStoreUnavailable: Boolean get() = health.isUnavailable

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
    fun directoryAgeMilliseconds(now: Timestamp): Long? = view.directoryProof.ageMilliseconds(now)

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
    fun logFreshnessChange(now: Timestamp) = changes.freshnessChecked(now)

    /** Records the [era] that another router names; if it is later than the known one, what is known is outdated. */
    fun eraNamed(era: StoreEra, now: Timestamp) {
        if (recordEra(era, now)) markOutdated(isCatalog = true, isDirectory = true)
    }

    /** Records [era] and returns whether the store has gone on to it from another one. */
    private fun recordEra(era: StoreEra, now: Timestamp): Boolean {
        val before = view.history.era
        if (!view.history.recordEra(era, now)) return false
        changes.eraBegun(before, now)
        if (view.history.isFirstEra) return false
        onEra()
        return true
    }

    /** Reads the catalog once and updates the view. */
    suspend fun readCatalog() {
        catalogSchedule.recordStart()
        isCatalogStale = false
        val sentAt = clock()
        health.recordSent(sentAt)
        val deadline = sentAt.plusMilliseconds(StoreReadSchedule.CALL_TIMEOUT_MILLISECONDS)
        val operators = storeReader.readCatalog(::isKnown, deadline)
        val now = clock()
        when (val read = operators.catalog) {
            is CatalogRead.Failed -> {
                catalogSchedule.recordFailure(now)
                storeFailed(read.failure, sentAt)
            }
            is CatalogRead.Answered -> {
                if (recordEra(read.era, now)) markOutdated(isCatalog = false, isDirectory = true)
                operators.evacuations?.let { adoptEvacuations(it, operators.malformed, sentAt) }
                if (read.era == view.history.era) applyCatalog(read, sentAt)
                val isProven = view.catalogProof.at >= sentAt
                if (!isProven) changes.readProvedNothing("catalog", view.catalogMark, pointOf(read), now)
                catalogSchedule.recordSuccess(now, isProven)
                storeAnswered(sentAt, now)
                onProof()
            }
        }
    }

    /** Whether a catalog stored at [point] need not be decoded. */
    private fun isKnown(point: StorePoint): Boolean {
        val known = view.catalogMark.point
        return point == unusablePoint || (point.era == known.era && point.revision <= known.revision)
    }

    private fun pointOf(read: CatalogRead.Answered) = when (read) {
        is CatalogRead.Unknown -> read.catalog.mark.point
        is CatalogRead.Unchanged -> read.point
        is CatalogRead.Malformed -> read.point
        is CatalogRead.Missing -> StorePoint(read.era, 0)
    }

    private fun applyCatalog(read: CatalogRead.Answered, sentAt: Timestamp) {
        when (read) {
            is CatalogRead.Unknown -> adoptCatalog(read.catalog, sentAt)
            is CatalogRead.Unchanged ->
                if (read.point == view.catalogMark.point) view.confirmRead(view.catalogMark, sentAt)
            // Shared like any other proof, so that not every router of a fleet polls the store for the first catalog.
            is CatalogRead.Missing -> view.confirmRead(CatalogMark(StorePoint(read.era, 0), 0), sentAt)
            is CatalogRead.Malformed -> {
                unusablePoint = read.point
                log.write(GatewayLogEvent.CATALOG_REFUSED, "point" to read.point, "detail" to read.detail)
            }
        }
    }

    private fun adoptCatalog(read: Catalog, sentAt: Timestamp) {
        val known = view.catalogMark
        if (!view.adoptCatalog(read, sentAt)) {
            unusablePoint = read.mark.point
            log.write(GatewayLogEvent.CATALOG_OUTDATED, "known" to known, "stored" to read.mark)
            return
        }
        changes.catalogAdopted(read)
        onChange(true)
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
                if (recordEra(read.directory.point.era, now)) markOutdated(isCatalog = true, isDirectory = false)
                storeAnswered(sentAt, now)
                changes.entriesMalformed(read.malformed)
                adoptDirectory(read.directory, sentAt)
                directorySchedule.recordSuccess(now, isProven = view.directoryProof.at >= sentAt)
                onProof()
            }
        }
    }

    private fun adoptDirectory(read: ServerDirectory, sentAt: Timestamp) {
        val outageUntil = health.lastUnansweredAt.takeIf { health.wasUnavailableSince(view.directoryProof.at) }
        val known = view.readDirectory.point
        val before =
            view.adoptDirectory(read, sentAt, outageUntil)
                ?: return changes.readProvedNothing("directory", known, read.point, clock())
        if (before.entries == view.directory.entries) return
        changes.directoryChanged(before, view.directory)
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
        val isSettled = view.history.isSettled(sentAt)
        view.evacuations.adopt(read, if (isSettled) sentAt else Timestamp.DISTANT_PAST, isSettled)
        changes.evacuationsMalformed(malformed)
    }

    private companion object {
        /** Time without periodic work from which on an outage of the store may not have been noticed. */
        const val STANDSTILL_MILLISECONDS = 500L

        /** Failures after which the store has answered, or has closed the connection, whatever this router's delay. */
        val REJECTIONS =
            setOf(CallFailureReason.REFUSED, CallFailureReason.BUDGET_EXHAUSTED, CallFailureReason.ANSWER_LOST)
    }
}
