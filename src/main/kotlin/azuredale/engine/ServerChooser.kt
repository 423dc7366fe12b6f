package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.identity.ServerId
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** What was decided for one request. */
internal sealed interface Choice {
    /**
     * Send the request to [server].
     *
     * @property uncachedTokens prompt tokens that the server probably has to read.
     * @property predictedMilliseconds predicted time to the first event.
     */
    data class Chosen(
        val server: BackendEntry,
        val uncachedTokens: Int,
        val predictedMilliseconds: Double,
    ) : Choice

    /** No server of the pool may be given the request now. */
    data class Unavailable(val detail: String) : Choice
}

/** Chooses the backend server of a request by the predicted time to its first event and the work that it causes. */
internal class ServerChooser(
    private val directory: () -> ServerDirectory,
    private val loads: LoadBook,
    private val cache: PromptCache,
    private val speeds: (ServerId) -> EngineSpeed,
    private val failures: (ServerId) -> FailureRecord,
) {
    /** The server for [work]. */
    fun choose(work: Work, now: Timestamp): Choice {
        val ready = directory().ready(work.pool)
        val candidates = ready.filter { it.id !in work.excluded && failures(it.id).isUsable(now) }
        return if (work.prompt ==
            null
        ) {
            chooseService(work, candidates, ready, now)
        } else {
            chooseEngine(work, candidates, now)
        }
    }

    private fun chooseService(
        work: Work,
        candidates: List<BackendEntry>,
        ready: List<BackendEntry>,
        now: Timestamp,
    ): Choice {
        val usable = candidates.ifEmpty { ready.filter { it.id !in work.excluded } }
        val best =
            usable.minByOrNull { entry ->
                val load = loads.load(entry.id, entry.number, now)
                val distance = if (entry.failureDomain == work.origin) 0.0 else REMOTE_SERVICE_LOAD
                load.running.toDouble() / entry.slots.coerceAtLeast(1) + distance
            } ?: return Choice.Unavailable("no server of ${work.pool} is ready")
        return Choice.Chosen(best, uncachedTokens = 0, predictedMilliseconds = 0.0)
    }

    private fun chooseEngine(work: Work, candidates: List<BackendEntry>, now: Timestamp): Choice {
        val prompt = checkNotNull(work.prompt)
        val session =
            prompt.parts
                .dropLast(1)
                .lastOrNull()
                ?.id ?: ""
        return candidates
            .map { predict(it, prompt.promptTokens - cache.cachedTokens(it.id, prompt), now) }
            .minByOrNull { cost(it, work, session) }
            ?: Choice.Unavailable("no server of ${work.pool} is ready")
    }

    /** Predicts the first event of a request that has [uncachedTokens] left to read at [server]. */
    fun predict(server: BackendEntry, uncachedTokens: Int, now: Timestamp): Choice.Chosen {
        val load = loads.load(server.id, server.number, now)
        val perToken = speeds(server.id).slowness / USUAL_TOKENS_PER_MILLISECOND
        val reading = (load.waitingTokens + uncachedTokens) * perToken
        val overfull = (load.running - server.slots + 1).coerceAtLeast(0)
        val slotWait = overfull * SLOT_WAIT_MILLISECONDS / server.slots.coerceAtLeast(1)
        return Choice.Chosen(server, uncachedTokens, FIXED_MILLISECONDS + reading + slotWait)
    }

    private fun cost(choice: Choice.Chosen, work: Work, session: String): Double {
        val server = choice.server
        val perToken = speeds(server.id).slowness / USUAL_TOKENS_PER_MILLISECOND
        val load = loads.ownLoad(server.id)
        val distance = if (server.failureDomain == work.origin) 0.0 else REMOTE_MILLISECONDS
        val spread = StableHash.fraction(session, server.id.name) * HOME_MILLISECONDS
        return choice.predictedMilliseconds + choice.uncachedTokens * perToken * WORK_WEIGHT +
            load.running * RUNNING_MILLISECONDS + distance + spread
    }

    companion object {
        /** Prompt tokens that a server of usual speed reads in a millisecond; each server's own speed is learned. */
        const val USUAL_TOKENS_PER_MILLISECOND = 100.0

        /** Round trips and the step that is under way when a request arrives. */
        const val FIXED_MILLISECONDS = 20.0

        /** How long a request holds its slot, when all slots of a server are taken. */
        const val SLOT_WAIT_MILLISECONDS = 1_500.0

        /** How much a token read counts against others' waiting, beside the request's own waiting. */
        const val WORK_WEIGHT = 0.5

        /** Each request running slows every step a little. */
        const val RUNNING_MILLISECONDS = 0.3

        /** Bytes between failure domains are charged, so an equal server nearby is preferred. */
        const val REMOTE_MILLISECONDS = 2.0
        const val REMOTE_SERVICE_LOAD = 0.1

        /** Spreads sessions that no server has read yet, in the same way at every router. */
        const val HOME_MILLISECONDS = 15.0
    }
}
