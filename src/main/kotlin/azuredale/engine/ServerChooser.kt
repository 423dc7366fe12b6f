package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.gateway.PromptShape
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** Result of selecting a server for one request. */
internal sealed interface Choice {
    /**
     * Send the request to [server].
     *
     * @property uncachedTokens prompt tokens that the server probably has to prefill.
     * @property predictedMilliseconds predicted time to the first event.
     * @property load work at the server when it was selected.
     */
    data class Chosen(
        val server: BackendEntry,
        val uncachedTokens: Int,
        val predictedMilliseconds: Double,
        val load: ServerLoad = ServerLoad.NONE,
    ) : Choice

    /** No server of the pool can take the request now. */
    data class Unavailable(val detail: String) : Choice
}

/**
 * Selects the backend server for a request by predicted time to first event and by the cost of repeated prefill.
 *
 * Prefilling a prompt part that another server has cached takes time from the requests queued behind it, so a server
 * with the parts in its cache is passed over only when another server is clearly faster.
 */
internal class ServerChooser(
    private val directory: () -> ServerDirectory,
    private val statistics: ServerStatistics,
) {
    /** Selects a server for [work]. */
    fun choose(work: Work, now: Timestamp): Choice {
        val ready = directory().ready(work.pool)
        val usable = ready.filter { it.id !in work.excluded && statistics.circuitBreaker(it.id).allowsRequest(now) }
        val candidates = usable.ifEmpty { ready.filter { it.id !in work.excluded } }
        val prompt = work.prompt
        val best = if (prompt == null) bestService(work, candidates, now) else bestEngine(work, prompt, candidates, now)
        return best ?: Choice.Unavailable("no untried server among ${ready.size} ready servers of ${work.pool}")
    }

    private fun bestService(work: Work, candidates: List<BackendEntry>, now: Timestamp): Choice.Chosen? = candidates
        .map { Choice.Chosen(it, 0, 0.0, statistics.loads.load(it.id, it.number, now)) }
        .minByOrNull { choice ->
            val isNear = choice.server.failureDomain == work.origin
            choice.load.running.toDouble() / choice.server.slots.coerceAtLeast(1) +
                if (isNear) 0.0 else REMOTE_SERVICE_LOAD
        }

    private fun bestEngine(
        work: Work,
        prompt: PromptShape,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): Choice.Chosen? {
        val shared = prompt.parts.dropLast(1)
        val sharedTokens = shared.sumOf { it.tokens }
        statistics.resetStaleEstimates(work.pool, now)
        val session = shared.lastOrNull()?.id.orEmpty()
        return candidates
            .map { server ->
                val cached = statistics.cache.cachedTokens(server.id, prompt)
                val uncached = (prompt.promptTokens - cached).coerceAtLeast(0)
                val load = statistics.loads.load(server.id, server.number, now)
                Choice.Chosen(server, uncached, statistics.predictMilliseconds(server, uncached, load), load)
            }.minByOrNull { cost(it, work, session, (sharedTokens - prompt.promptTokens + it.uncachedTokens)) }
    }

    private fun cost(choice: Choice.Chosen, work: Work, session: String, rereadTokens: Int): Double {
        val server = choice.server
        val distance = if (server.failureDomain == work.origin) 0.0 else REMOTE_MILLISECONDS
        val home = StableHash.fraction(session, server.id.name) * HOME_MILLISECONDS
        val reread =
            rereadTokens.coerceAtLeast(0) * statistics.prefillSpeed(server.id).millisecondsPerToken * REREAD_WEIGHT
        return choice.predictedMilliseconds + reread + choice.load.running * RUNNING_MILLISECONDS + distance + home
    }

    private companion object {
        /** Weight of repeated prefill time, in addition to its share of the predicted latency. */
        const val REREAD_WEIGHT = 3.0

        /** Each running request slows down every generation step slightly. */
        const val RUNNING_MILLISECONDS = 0.5

        /** Traffic between failure domains is charged, so a local server is preferred among equals. */
        const val REMOTE_MILLISECONDS = 2.0
        const val REMOTE_SERVICE_LOAD = 0.1

        /** Spreads sessions that no server has cached yet, consistently across routers. */
        const val HOME_MILLISECONDS = 30.0
    }
}
