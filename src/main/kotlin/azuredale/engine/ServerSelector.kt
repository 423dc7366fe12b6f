package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.directory.process
import azuredale.gateway.PromptShape
import azuredale.identity.PartId
import azuredale.identity.PoolId
import azuredale.sharing.StableHash
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

    /** All servers of the pool that could take the request want none before [until]. */
    data class OnHold(val until: Timestamp) : ServerSelection

    /** No server of the pool can take the request now. */
    data class Unavailable(val detail: String) : ServerSelection
}

/**
 * Selects the backend server for a request by predicted time to first event and by the cost of repeated prefill.
 *
 * Prefilling a prompt part that another server has cached takes time from the requests queued behind it, so a server
 * with the parts in its cache is passed over only when another server is clearly faster.
 */
internal class ServerSelector(
    private val directory: () -> ServerDirectory,
    private val statistics: ServerStatistics,
) {
    /** How often the limits of servers recently left none for a request to [pool], between 0 and 1. */
    fun limitPressure(pool: PoolId, now: Timestamp): Double = statistics.limitPressure.current(pool, now)

    /** Whether the process that [server] registers is still registered and accepts requests at [now]. */
    fun mayUse(server: BackendEntry, now: Timestamp): Boolean {
        val current = directory().entries[server.id] ?: return false
        return current.state == BackendState.READY &&
            current.process == server.process &&
            statistics.announcements.allowsRequest(server, now)
    }

    /** Selects a server for [request]. */
    fun select(request: SelectionRequest, now: Timestamp): ServerSelection {
        val ready = directory().ready(request.pool)
        val untried = ready.filter { it.id !in request.excluded }
        val willing = untried.filter { statistics.announcements.allowsRequest(it, now) }
        if (willing.isEmpty()) return unwilling(request, untried, now)
        val usable = willing.filter { statistics.circuitBreaker(it.id).allowsRequest(now) }
        val available = usable.ifEmpty { willing }
        val permitted = available.filter { statistics.limits.allowsRequest(it, ready, now) }
        val isUsedUp = permitted.isEmpty() && available.isNotEmpty()
        statistics.limitPressure.record(request.pool, isUsedUp, now)
        if (isUsedUp) return ServerSelection.LimitsUsedUp
        val candidates = request.confinedTo?.let { confined(permitted, it) } ?: permitted
        val prompt = request.prompt
        val best =
            if (prompt == null) bestService(request, candidates, now) else bestEngine(request, prompt, candidates, now)
        return best
            ?: ServerSelection.Unavailable("none of ${ready.size} servers of ${request.pool} may be used")
    }

    /** The result if none of the [untried] servers wants the request. */
    private fun unwilling(request: SelectionRequest, untried: List<BackendEntry>, now: Timestamp): ServerSelection {
        val until = untried.minOfOrNull { statistics.announcements.availableAt(it, now) } ?: Timestamp.DISTANT_FUTURE
        if (until < Timestamp.DISTANT_FUTURE) return ServerSelection.OnHold(until)
        return ServerSelection.Unavailable("no server of ${request.pool} accepts requests")
    }

    /** The same server on all routers that agree on [available]. */
    private fun confined(available: List<BackendEntry>, part: PartId): List<BackendEntry> =
        listOfNotNull(available.maxByOrNull { StableHash.fraction(part.name, it.id.name) })

    private fun bestService(
        request: SelectionRequest,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): ServerSelection.Selected? = candidates
        .map { ServerSelection.Selected(it, 0, 0.0, statistics.loads.load(it.id, it.idHash, now)) }
        .minByOrNull { selection ->
            val isLocal = selection.server.failureDomain == request.origin
            selection.load.running.toDouble() / selection.server.slots.coerceAtLeast(1) +
                if (isLocal) 0.0 else REMOTE_LOAD_PENALTY
        }

    private fun bestEngine(
        request: SelectionRequest,
        prompt: PromptShape,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): ServerSelection.Selected? {
        val shared = prompt.sharedParts
        val sharedTokens = shared.sumOf { it.tokens }
        statistics.resetStaleEstimates(request.pool, now)
        val session = shared.lastOrNull()?.id.orEmpty()
        val predictions =
            candidates.map { server ->
                val cached = statistics.cache.cachedTokens(server.id, prompt)
                val uncached = (prompt.promptTokens - cached).coerceAtLeast(0)
                val load = statistics.loads.load(server.id, server.idHash, now)
                ServerSelection.Selected(server, uncached, statistics.predictMilliseconds(server, uncached, load), load)
            }
        val best =
            predictions
                .minByOrNull { cost(it, request, session, (sharedTokens - prompt.promptTokens + it.uncachedTokens)) }
                ?: return null
        // What a server has not cached says nothing about its queue, so all are compared with the same prompt.
        val total = predictions.sumOf { statistics.predictMilliseconds(it.server, best.uncachedTokens, it.load) }
        return best.copy(meanMilliseconds = total / predictions.size)
    }

    private fun cost(
        selection: ServerSelection.Selected,
        request: SelectionRequest,
        session: String,
        repeatedTokens: Int,
    ): Double {
        val server = selection.server
        val distance = if (server.failureDomain == request.origin) 0.0 else REMOTE_PENALTY_MILLISECONDS
        val affinity = StableHash.fraction(session, server.id.name) * AFFINITY_MILLISECONDS
        val repeated =
            repeatedTokens.coerceAtLeast(0) * statistics.prefillSpeed(server.id).millisecondsPerToken *
                REPEATED_PREFILL_WEIGHT
        return selection.predictedMilliseconds + repeated + selection.load.running * RUNNING_MILLISECONDS +
            distance + affinity
    }

    private companion object {
        /** Weight of repeated prefill time, in addition to its share of the predicted latency. */
        const val REPEATED_PREFILL_WEIGHT = 3.0

        /** Each running request slows down every generation step slightly. */
        const val RUNNING_MILLISECONDS = 0.5

        /** Traffic between failure domains is charged, so a local server is preferred among equals. */
        const val REMOTE_PENALTY_MILLISECONDS = 2.0
        const val REMOTE_LOAD_PENALTY = 0.1

        /** Spreads sessions that no server has cached yet, consistently across routers. */
        const val AFFINITY_MILLISECONDS = 30.0
    }
}
