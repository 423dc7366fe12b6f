package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.gateway.PromptShape
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** What was decided for one request. */
internal sealed interface Choice {
    /**
     * Send the request to [server].
     *
     * @property uncachedTokens prompt tokens that the server probably has to read.
     * @property predictedMilliseconds predicted time to the first event.
     * @property load work at the server when it was chosen.
     */
    data class Chosen(
        val server: BackendEntry,
        val uncachedTokens: Int,
        val predictedMilliseconds: Double,
        val load: ServerLoad = ServerLoad.NONE,
    ) : Choice

    /** No server of the pool may be given the request now. */
    data class Unavailable(val detail: String) : Choice
}

/**
 * Chooses the backend server of a request by the predicted time to its first event and the reading that it repeats.
 *
 * A prompt part that a second server reads again costs that server's time, which others then wait for, so a server that
 * holds the parts is left only when it is clearly later than another.
 */
internal class ServerChooser(
    private val directory: () -> ServerDirectory,
    private val book: EngineBook,
) {
    /** The server for [work]. */
    fun choose(work: Work, now: Timestamp): Choice {
        val ready = directory().ready(work.pool)
        val usable = ready.filter { it.id !in work.excluded && book.failures(it.id).isUsable(now) }
        val candidates = usable.ifEmpty { ready.filter { it.id !in work.excluded } }
        val prompt = work.prompt
        val best = if (prompt == null) bestService(work, candidates, now) else bestEngine(work, prompt, candidates, now)
        return best ?: Choice.Unavailable("none of ${ready.size} servers of ${work.pool} may be used")
    }

    private fun bestService(work: Work, candidates: List<BackendEntry>, now: Timestamp): Choice.Chosen? = candidates
        .map { Choice.Chosen(it, 0, 0.0, book.loads.load(it.id, it.number, now)) }
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
        book.forgetUnconfirmed(work.pool, now)
        val session = shared.lastOrNull()?.id.orEmpty()
        return candidates
            .map { server ->
                val cached = book.cache.cachedTokens(server.id, prompt)
                val uncached = (prompt.promptTokens - cached).coerceAtLeast(0)
                val load = book.loads.load(server.id, server.number, now)
                Choice.Chosen(server, uncached, book.predict(server, uncached, load), load)
            }.minByOrNull { cost(it, work, session, (sharedTokens - prompt.promptTokens + it.uncachedTokens)) }
    }

    private fun cost(choice: Choice.Chosen, work: Work, session: String, rereadTokens: Int): Double {
        val server = choice.server
        val distance = if (server.failureDomain == work.origin) 0.0 else REMOTE_MILLISECONDS
        val home = StableHash.fraction(session, server.id.name) * HOME_MILLISECONDS
        val reread = rereadTokens.coerceAtLeast(0) * book.speed(server.id).millisecondsPerToken * REREAD_WEIGHT
        return choice.predictedMilliseconds + reread + choice.load.running * RUNNING_MILLISECONDS + distance + home
    }

    private companion object {
        /** How often the time for a part that is read again counts, beside the request's own waiting. */
        const val REREAD_WEIGHT = 3.0

        /** Each request running slows every step a little. */
        const val RUNNING_MILLISECONDS = 0.5

        /** Bytes between failure domains are charged, so an equal server nearby is preferred. */
        const val REMOTE_MILLISECONDS = 2.0
        const val REMOTE_SERVICE_LOAD = 0.1

        /** Spreads sessions that no server has read yet, in the same way at every router. */
        const val HOME_MILLISECONDS = 30.0
    }
}
