package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.time.Timestamp

/** Chooses the server of a plain service, whose requests have no prompt, by the part of its slots that is in use. */
internal class ServicePlacement(private val statistics: ServerStatistics) {
    /** The best of [candidates], null if there are none. */
    fun select(request: SelectionRequest, candidates: List<BackendEntry>, now: Timestamp): ServerSelection.Selected? =
        candidates
            .map { ServerSelection.Selected(it, 0, 0.0, statistics.loads.load(it.id, it.idHash, now)) }
            .minByOrNull { selection ->
                val isLocal = selection.server.failureDomain == request.origin
                selection.load.running.toDouble() / selection.server.slots.coerceAtLeast(1) +
                    if (isLocal) 0.0 else REMOTE_LOAD_PENALTY
            }

    private companion object {
        /** Part of a server's slots that a local server may have in use more than one of another failure domain. */
        const val REMOTE_LOAD_PENALTY = 0.1
    }
}
