package azuredale.gateway

import azuredale.catalog.Catalog
import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.freshness.StoreView
import azuredale.logging.EventLog
import azuredale.store.StoreEra
import azuredale.time.Timestamp

/** Logs what [StorePoller] reads and what changes in its [view], and does not log again what stays the same. */
internal class StoreChangeLog(
    private val view: StoreView,
    private val log: EventLog,
) {
    private var wasCatalogFresh = false
    private var malformedEvacuations: List<String> = emptyList()
    private var malformedEntries: Map<String, String> = emptyMap()
    private var nextUnprovenLogAt = Timestamp.DISTANT_PAST

    /** Logs whether the catalog has become stale or fresh. */
    fun freshnessChecked(now: Timestamp) {
        val isFresh = view.isCatalogFresh(now)
        if (isFresh == wasCatalogFresh) return
        wasCatalogFresh = isFresh
        val event = if (isFresh) GatewayLogEvent.PROOF_REGAINED else GatewayLogEvent.PROOF_EXPIRED
        log.write(
            event,
            "catalog" to view.catalogMark,
            "newest" to view.newestMark,
            "era" to view.history.era,
            "reader" to view.catalogProof.reader,
            "age" to view.catalogProof.ageMilliseconds(now),
        )
    }

    /** Logs, at most once a second, that a read of [table] was answered and proved nothing. */
    fun readProvedNothing(table: String, known: Any, read: Any, now: Timestamp) {
        if (now < nextUnprovenLogAt) return
        nextUnprovenLogAt = now.plusSeconds(1)
        log.write(GatewayLogEvent.READ_PROVED_NOTHING, "table" to table, "known" to known, "read" to read)
    }

    /** Logs that the store's history has gone on from the era [before]. */
    fun eraBegun(before: StoreEra, now: Timestamp) = log.write(
        GatewayLogEvent.ERA_BEGUN,
        "before" to before,
        "era" to view.history.era,
        "isSettled" to view.history.isSettled(now),
        "catalog" to view.catalogMark,
    )

    /** Logs that [catalog] is in force. */
    fun catalogAdopted(catalog: Catalog) = log.write(
        GatewayLogEvent.CATALOG_ADOPTED,
        "point" to catalog.mark.point,
        "version" to catalog.version,
        "routes" to catalog.routes.size,
        "teams" to catalog.teams.size,
    )

    /** Logs the [names] of evacuations that cannot be decoded. */
    fun evacuationsMalformed(names: List<String>) {
        if (names != malformedEvacuations && names.isNotEmpty()) {
            log.write(GatewayLogEvent.EVACUATION_MALFORMED, "names" to names.take(LOGGED_NAMES))
        }
        malformedEvacuations = names
    }

    /** Logs the registrations that cannot be decoded: the reason of each by its server. */
    fun entriesMalformed(reasons: Map<String, String>) {
        reasons.filter { malformedEntries[it.key] != it.value }.forEach { (id, detail) ->
            log.write(GatewayLogEvent.ENTRY_MALFORMED, "server" to id, "detail" to detail)
        }
        malformedEntries = reasons
    }

    /** Logs each registration that differs between [before] and [after]. */
    fun directoryChanged(before: ServerDirectory, after: ServerDirectory) {
        (before.entries.keys + after.entries.keys).forEach { id ->
            val old = before.entries[id]
            val new = after.entries[id]
            if (old != new) {
                log.write(
                    GatewayLogEvent.DIRECTORY_CHANGED,
                    "server" to id,
                    "before" to describe(old),
                    "after" to describe(new),
                    "point" to after.point,
                )
            }
        }
    }

    private fun describe(entry: BackendEntry?) = entry?.let {
        "${it.state} ${it.pool} ${it.address}" + if (it.isCold) " cold" else ""
    } ?: "gone"

    private companion object {
        const val LOGGED_NAMES = 3
    }
}
