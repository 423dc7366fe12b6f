package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.gateway.PromptShape
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * What it costs to send a prompt to one server, in milliseconds of delay for its caller and for those behind it.
 *
 * @property predictedMilliseconds predicted time to the first event.
 * @property repeatedMilliseconds delay of the requests behind it by prefill of shared parts that another server may
 *   have cached, less what a further holder of these parts saves.
 * @property evictionMilliseconds prefill of the parts that the prompt pushes out of the server's memory, as far as they
 *   are asked for again.
 * @property crowdingMilliseconds delay of the other requests that run at the server.
 * @property distanceMilliseconds cost of traffic to another failure domain.
 * @property affinityMilliseconds order of the servers for a session that none has cached.
 */
internal data class PlacementCost(
    val predictedMilliseconds: Double,
    val repeatedMilliseconds: Double,
    val evictionMilliseconds: Double,
    val crowdingMilliseconds: Double,
    val distanceMilliseconds: Double,
    val affinityMilliseconds: Double,
) {
    /** The terms by name, in milliseconds, for explanations. */
    val terms: Map<String, Double>
        get() =
            linkedMapOf(
                "first-event" to predictedMilliseconds,
                "repeated" to repeatedMilliseconds,
                "eviction" to evictionMilliseconds,
                "crowding" to crowdingMilliseconds,
                "distance" to distanceMilliseconds,
                "affinity" to affinityMilliseconds,
            )

    /** The sum of all terms; the server with the lowest sum gets the prompt. */
    val total: Double
        get() =
            predictedMilliseconds + repeatedMilliseconds + evictionMilliseconds + crowdingMilliseconds +
                distanceMilliseconds + affinityMilliseconds
}

/** A server to which a prompt may be sent, and what that costs. */
internal class Placement(
    val selection: ServerSelection.Selected,
    val cost: PlacementCost,
)

/**
 * Chooses the model engine for a prompt by predicted time to the first event and by what the choice costs others.
 *
 * Prefilling a prompt part that another server has cached takes time from the requests queued behind it, and pushes
 * other parts out of a full memory, so a server that has them is passed over only when another one costs less.
 *
 * @param weighsPrefixes whether demand, memory and the time until the target count; without it each repeated prefill is
 *   charged for a fixed number of requests, and nothing else is charged for kept parts.
 */
internal class EnginePlacement(
    private val statistics: ServerStatistics,
    private val weighsPrefixes: Boolean = true,
) {
    /** The best of [candidates] for [prompt], null if there are none; records why kept parts were passed over. */
    fun select(
        request: SelectionRequest,
        prompt: PromptShape,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): ServerSelection.Selected? {
        val choice = choose(request, prompt, candidates, now) ?: return null
        statistics.prefixes.recordChoice(choice.outline, choice.best, choice.placements)
        return selection(choice)
    }

    /** What [select] would return; has no effect. */
    fun preview(
        request: SelectionRequest,
        prompt: PromptShape,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): ServerSelection.Selected? = choose(request, prompt, candidates, now)?.let(::selection)

    private class Choice(
        val outline: PromptOutline,
        val best: Placement,
        val placements: List<Placement>,
    )

    private fun choose(
        request: SelectionRequest,
        prompt: PromptShape,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): Choice? {
        val outline = outline(prompt, candidates, now)
        val placements = candidates.map { placement(request, outline, it, now) }
        val untilLate = request.onTimeUntil.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        val best = best(placements, untilLate) ?: return null
        return Choice(outline, best, placements)
    }

    /** What a server has not cached says nothing about its queue, so all are compared with the same prompt. */
    private fun selection(choice: Choice): ServerSelection.Selected {
        val best = choice.best.selection
        val total =
            choice.placements.sumOf { placement ->
                val selection = placement.selection
                if (selection.uncachedTokens == best.uncachedTokens) {
                    selection.predictedMilliseconds
                } else {
                    statistics.predictMilliseconds(selection.server, best.uncachedTokens, selection.load)
                }
            }
        return best.copy(meanMilliseconds = total / choice.placements.size, trade = trade(choice))
    }

    private fun trade(choice: Choice): PrefixTrade? {
        if (choice.outline.sharedTokens == 0) return null
        val chosen = choice.best.selection
        var holder: ServerSelection.Selected? = null
        var soonest = chosen.predictedMilliseconds
        for (placement in choice.placements) {
            val selection = placement.selection
            soonest = minOf(soonest, selection.predictedMilliseconds)
            if (selection.uncachedTokens < chosen.uncachedTokens && keepsMore(selection, holder)) holder = selection
        }
        return PrefixTrade(
            holderMilliseconds = holder?.predictedMilliseconds,
            chosenMilliseconds = chosen.predictedMilliseconds,
            soonestMilliseconds = soonest,
        )
    }

    /** Whether [selection] keeps more of the prompt than [other], or as much with a shorter wait. */
    private fun keepsMore(selection: ServerSelection.Selected, other: ServerSelection.Selected?): Boolean =
        other == null ||
            selection.uncachedTokens < other.uncachedTokens ||
            (
                selection.uncachedTokens == other.uncachedTokens &&
                    selection.predictedMilliseconds < other.predictedMilliseconds
            )

    /** What the choice among [candidates] for [prompt] needs; has no effect. */
    fun outline(prompt: PromptShape, candidates: List<BackendEntry>, now: Timestamp): PromptOutline =
        PromptOutline(prompt, candidates, statistics, now)

    /** What it costs to send the prompt of [outline] to [server]; has no effect. */
    fun placement(request: SelectionRequest, outline: PromptOutline, server: BackendEntry, now: Timestamp): Placement {
        val cached = statistics.cache.cachedTokens(server.id, outline.prompt)
        val uncached = (outline.prompt.promptTokens - cached).coerceAtLeast(0)
        val load = statistics.loads.load(server.id, server.idHash, now)
        val selection =
            ServerSelection.Selected(server, uncached, statistics.predictMilliseconds(server, uncached, load), load)
        return Placement(selection, cost(request, outline, selection))
    }

    /** Waiting at a server that keeps the parts never makes a prompt late that another server would answer on time. */
    private fun best(placements: List<Placement>, untilLate: Double): Placement? {
        val cheapest = placements.minByOrNull { it.cost.total } ?: return null
        if (!weighsPrefixes || cheapest.cost.predictedMilliseconds <= untilLate) return cheapest
        return placements.filter { it.cost.predictedMilliseconds <= untilLate }.minByOrNull { it.cost.total }
            ?: cheapest
    }

    private fun cost(
        request: SelectionRequest,
        outline: PromptOutline,
        selection: ServerSelection.Selected,
    ): PlacementCost {
        val server = selection.server
        val millisecondsPerToken = statistics.prefillSpeed(server.id).millisecondsPerToken
        return PlacementCost(
            predictedMilliseconds = selection.predictedMilliseconds,
            repeatedMilliseconds = repeatedMilliseconds(outline, selection, millisecondsPerToken),
            evictionMilliseconds = evictionMilliseconds(outline, selection, millisecondsPerToken),
            crowdingMilliseconds = selection.load.running * RUNNING_MILLISECONDS,
            distanceMilliseconds = if (server.failureDomain == request.origin) 0.0 else REMOTE_PENALTY_MILLISECONDS,
            affinityMilliseconds = affinityMilliseconds(outline, server, millisecondsPerToken),
        )
    }

    private fun repeatedMilliseconds(
        outline: PromptOutline,
        selection: ServerSelection.Selected,
        millisecondsPerToken: Double,
    ): Double {
        val server = selection.server
        val repeatedTokens = outline.repeatedTokens(selection.uncachedTokens)
        if (repeatedTokens == 0) return 0.0
        if (!weighsPrefixes) return repeatedTokens * millisecondsPerToken * PrefixWeighing.LEAST_BEHIND
        val behind =
            PrefixWeighing.requestsBehind(
                running = selection.load.running,
                waitMilliseconds = selection.predictedMilliseconds,
                holdMilliseconds = statistics.latency(server.pool).holdMilliseconds,
                readMilliseconds = outline.ownTokens * millisecondsPerToken,
                slots = server.slots,
            )
        val repeated = (repeatedTokens - outline.unheldTokens).coerceAtLeast(0) * millisecondsPerToken * behind
        val first = outline.unheldTokens * millisecondsPerToken * PrefixWeighing.LEAST_BEHIND
        return first + (repeated - outline.valueOfAnotherHolder(millisecondsPerToken)).coerceAtLeast(0.0)
    }

    private fun affinityMilliseconds(
        outline: PromptOutline,
        server: BackendEntry,
        millisecondsPerToken: Double,
    ): Double {
        val order = StableHash.fraction(outline.session, server.id.name) * AFFINITY_MILLISECONDS
        if (!weighsPrefixes || outline.home == null || outline.home == server.id) return order
        return order + outline.scatterMilliseconds(millisecondsPerToken)
    }

    private fun evictionMilliseconds(
        outline: PromptOutline,
        selection: ServerSelection.Selected,
        millisecondsPerToken: Double,
    ): Double {
        if (!weighsPrefixes) return 0.0
        val server = selection.server.id
        if (!statistics.cache.keepsIdleParts(server)) return 0.0
        val free = statistics.knownFreeTokens(server)
        // Without knowledge of the running requests' memory, a part of it is set aside for all that is not shared.
        val tokens =
            if (free == null) {
                outline.repeatedTokens(selection.uncachedTokens)
            } else {
                selection.uncachedTokens + outline.answerTokens
            }
        val capacity = free ?: statistics.reservedTokens(server)
        return statistics.cache.evictionLoss(server, tokens, capacity, outline.shared) { id, lost ->
            lost * millisecondsPerToken * outline.lossOf(id)
        }
    }

    private companion object {
        /** Each running request slows down every generation step slightly. */
        const val RUNNING_MILLISECONDS = 0.5

        /** Traffic between failure domains is charged, so a local server is preferred among equals. */
        const val REMOTE_PENALTY_MILLISECONDS = 2.0

        /** Spreads sessions that no server has cached yet, consistently across routers. */
        const val AFFINITY_MILLISECONDS = 30.0
    }
}
