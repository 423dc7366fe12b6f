package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.gateway.PromptShape
import azuredale.identity.FailureDomain
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.time.Timestamp

/** Result of selecting a server for one request. */
internal sealed interface ServerSelection {
    /**
     * Send the request to [server].
     *
     * @property uncachedTokens prompt tokens that the server probably has to prefill.
     * @property predictedMilliseconds predicted time to the first event.
     * @property load work at the server when it was selected.
     * @property meanMilliseconds mean prediction of all servers that could have been selected, if each had cached as
     *   much of the prompt as [server].
     */
    data class Selected(
        val server: BackendEntry,
        val uncachedTokens: Int,
        val predictedMilliseconds: Double,
        val load: ServerLoad = ServerLoad.NONE,
        val meanMilliseconds: Double = predictedMilliseconds,
    ) : ServerSelection

    /** All servers of the pool that could take the request have named limits, which are used up. */
    data object LimitsUsedUp : ServerSelection

    /** The prompt is larger than the memory of every server of the pool. */
    data object TooLarge : ServerSelection

    /**
     * No server of the pool has room in its memory for the request.
     *
     * @property missingTokens what the server with most room lacks.
     * @property freeAt when so much will probably be free; null if unknown.
     */
    data class NoRoom(
        val missingTokens: Long,
        val freeAt: Timestamp?,
    ) : ServerSelection

    /** All servers of the pool that could take the request want none before [until]. */
    data class OnHold(val until: Timestamp) : ServerSelection

    /** No server of the pool can take the request now. */
    data class Unavailable(val detail: String) : ServerSelection
}

/**
 * Selects the backend server for a request among those that [ServerEligibility] leaves.
 *
 * @param isEvacuated whether operators have evacuated a failure domain.
 * @param regionOf the region of a failure domain, null if it is unknown.
 * @param weighsPrefixes whether kept prompt parts are weighed against wait, memory and demand.
 */
internal class ServerSelector(
    directory: () -> ServerDirectory,
    private val statistics: ServerStatistics,
    isEvacuated: (FailureDomain) -> Boolean = { false },
    regionOf: (FailureDomain) -> Region? = { null },
    weighsPrefixes: Boolean = true,
) {
    /** Which servers may get a request. */
    val eligibility = ServerEligibility(directory, statistics, isEvacuated, regionOf)

    /** Which model engine gets a prompt. */
    val engines = EnginePlacement(statistics, weighsPrefixes)

    /** Which plain service gets a request. */
    val services = ServicePlacement(statistics)

    /** How often the limits or the memory of servers recently left none for a request to [pool], between 0 and 1. */
    fun limitPressure(pool: PoolId, now: Timestamp): Double = statistics.limitPressure.current(pool, now)

    /** Whether the process that [server] registers is still registered and accepts requests at [now]. */
    fun mayUse(server: BackendEntry, now: Timestamp): Boolean = eligibility.mayUse(server, now)

    /** Outstanding work at [server], of all routers together. */
    fun load(server: BackendEntry, now: Timestamp): ServerLoad = statistics.loads.load(server.id, server.idHash, now)

    /** Selects a server for [request]. */
    fun select(request: SelectionRequest, now: Timestamp): ServerSelection {
        statistics.resetStaleEstimates(request.pool, now)
        return select(request, eligibility.assess(request, now), engines::select, now)
    }

    /** What [select] would return; has no effect. */
    fun preview(request: SelectionRequest, now: Timestamp): ServerSelection =
        select(request, eligibility.candidates(request, now), engines::preview, now)

    private fun select(
        request: SelectionRequest,
        eligible: Eligibility,
        place: (SelectionRequest, PromptShape, List<BackendEntry>, Timestamp) -> ServerSelection.Selected?,
        now: Timestamp,
    ): ServerSelection {
        val candidates =
            when (eligible) {
                is Eligibility.None -> return eligible.selection
                is Eligibility.Servers -> eligible.servers
            }
        val best =
            when (val prompt = request.prompt) {
                null -> services.select(request, candidates, now)
                else -> place(request, prompt, candidates, now)
            }
        return best ?: ServerSelection.Unavailable("no server of ${request.pool} may be used")
    }
}
