package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.gateway.PromptShape
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * What it costs to send a prompt to one server, in milliseconds of delay for its caller and for those behind it.
 *
 * @property predictedMilliseconds predicted time to the first event.
 * @property repeatedMilliseconds prefill of shared parts that another server may have cached.
 * @property crowdingMilliseconds delay of the other requests that run at the server.
 * @property distanceMilliseconds cost of traffic to another failure domain.
 * @property affinityMilliseconds order of the servers for a session that none has cached.
 */
internal data class PlacementCost(
    val predictedMilliseconds: Double,
    val repeatedMilliseconds: Double,
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
                "crowding" to crowdingMilliseconds,
                "distance" to distanceMilliseconds,
                "affinity" to affinityMilliseconds,
            )

    /** The sum of all terms; the server with the lowest sum gets the prompt. */
    val total: Double
        get() =
            predictedMilliseconds + repeatedMilliseconds + crowdingMilliseconds + distanceMilliseconds +
                affinityMilliseconds
}

/** What the placement of a prompt needs of it, the same for every server. */
internal class PromptOutline(val prompt: PromptShape) {
    private val shared = prompt.sharedParts

    /** Tokens of the parts that other requests may share. */
    val sharedTokens: Int = shared.sumOf { it.tokens }

    /** The deepest shared part, which identifies a session; empty if the prompt shares nothing. */
    val session: String = shared.lastOrNull()?.id.orEmpty()
}

/** A server to which a prompt may be sent, and what that costs. */
internal class Placement(
    val selection: ServerSelection.Selected,
    val cost: PlacementCost,
)

/**
 * Chooses the model engine for a prompt by predicted time to the first event and by the cost of repeated prefill.
 *
 * Prefilling a prompt part that another server has cached takes time from the requests queued behind it, so a server
 * with the parts in its cache is passed over only when another server is clearly faster.
 */
internal class EnginePlacement(private val statistics: ServerStatistics) {
    /** The best of [candidates] for [prompt], null if there are none. */
    fun select(
        request: SelectionRequest,
        prompt: PromptShape,
        candidates: List<BackendEntry>,
        now: Timestamp,
    ): ServerSelection.Selected? {
        val outline = PromptOutline(prompt)
        val placements = candidates.map { placement(request, outline, it, now) }
        val best = placements.minByOrNull { it.cost.total }?.selection ?: return null
        // What a server has not cached says nothing about its queue, so all are compared with the same prompt.
        val total =
            placements.sumOf {
                statistics.predictMilliseconds(it.selection.server, best.uncachedTokens, it.selection.load)
            }
        return best.copy(meanMilliseconds = total / placements.size)
    }

    /** What it costs to send the prompt of [outline] to [server]; has no effect. */
    fun placement(request: SelectionRequest, outline: PromptOutline, server: BackendEntry, now: Timestamp): Placement {
        val cached = statistics.cache.cachedTokens(server.id, outline.prompt)
        val uncached = (outline.prompt.promptTokens - cached).coerceAtLeast(0)
        val load = statistics.loads.load(server.id, server.idHash, now)
        val selection =
            ServerSelection.Selected(server, uncached, statistics.predictMilliseconds(server, uncached, load), load)
        return Placement(selection, cost(request, outline, selection))
    }

    private fun cost(
        request: SelectionRequest,
        outline: PromptOutline,
        selection: ServerSelection.Selected,
    ): PlacementCost {
        val server = selection.server
        val repeatedTokens =
            (outline.sharedTokens - outline.prompt.promptTokens + selection.uncachedTokens).coerceAtLeast(0)
        return PlacementCost(
            predictedMilliseconds = selection.predictedMilliseconds,
            repeatedMilliseconds =
                repeatedTokens * statistics.prefillSpeed(server.id).millisecondsPerToken * REPEATED_PREFILL_WEIGHT,
            crowdingMilliseconds = selection.load.running * RUNNING_MILLISECONDS,
            distanceMilliseconds = if (server.failureDomain == request.origin) 0.0 else REMOTE_PENALTY_MILLISECONDS,
            affinityMilliseconds = StableHash.fraction(outline.session, server.id.name) * AFFINITY_MILLISECONDS,
        )
    }

    private companion object {
        /** Weight of repeated prefill time, in addition to its share of the predicted latency. */
        const val REPEATED_PREFILL_WEIGHT = 3.0

        /** Each running request slows down every generation step slightly. */
        const val RUNNING_MILLISECONDS = 0.5

        /** Traffic between failure domains is charged, so a local server is preferred among equals. */
        const val REMOTE_PENALTY_MILLISECONDS = 2.0

        /** Spreads sessions that no server has cached yet, consistently across routers. */
        const val AFFINITY_MILLISECONDS = 30.0
    }
}
