package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.identity.ServerId
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** Which servers have room for a prompt. */
internal sealed interface RoomDecision {
    /** The servers with room; at least one. */
    class Servers(val servers: List<BackendEntry>) : RoomDecision

    /** The request is larger than the memory of every server. */
    data object TooLarge : RoomDecision

    /**
     * Other requests take the room.
     *
     * @property missingTokens what the server with most room lacks.
     * @property freeAt when so much will probably be free; null if nothing is known of how soon room is freed.
     */
    data class Taken(
        val missingTokens: Long,
        val freeAt: Timestamp?,
    ) : RoomDecision
}

/**
 * Decides which servers have room for a prompt.
 *
 * Memory counts only where it binds, that is, where requests in all slots could exceed it; elsewhere the slots limit
 * what runs. Where it binds, a request needs as much room as the largest request of the last seconds, up to an eighth
 * of a server, so that requests of these sizes find room equally often. When a larger one is refused, one server of the
 * pool gets no smaller ones, unless it has room for both, until one as large finds room. It waits no longer than the
 * requests at that server run. Both hold at the routers that have seen the large request.
 *
 * What other routers send before it is reported comes on top. All of them choose among the servers that have room, so
 * the fewer those are, the more each gets.
 */
internal class ServerRoom(
    private val memory: EngineMemory,
    private val loads: LoadTracker,
    private val routers: () -> Int,
) {
    /** Those of [candidates], which are among the [ready] servers of the pool, that have room for [request]. */
    fun decide(
        candidates: List<BackendEntry>,
        request: SelectionRequest,
        ready: List<BackendEntry>,
        now: Timestamp,
    ): RoomDecision {
        val needs = needs(request, candidates) ?: return RoomDecision.Servers(candidates)
        if (needs.isTooLarge) return RoomDecision.TooLarge
        val demand = memory.demand(request.pool)
        demand.recordAsked(needs.wholeTokens, needs.ownTokens, now)
        if (!isBound(needs, ready)) return RoomDecision.Servers(candidates)
        val decision = judge(needs, candidates, ready, now)
        if (decision is RoomDecision.Taken) {
            demand.recordRefused(needs.wholeTokens, now)
        } else {
            demand.recordFound(needs.wholeTokens)
        }
        return decision
    }

    /** What [decide] would return; has no effect. */
    fun preview(
        candidates: List<BackendEntry>,
        request: SelectionRequest,
        ready: List<BackendEntry>,
        now: Timestamp,
    ): RoomDecision {
        val needs = needs(request, candidates) ?: return RoomDecision.Servers(candidates)
        return when {
            needs.isTooLarge -> RoomDecision.TooLarge
            isBound(needs, ready) -> judge(needs, candidates, ready, now)
            else -> RoomDecision.Servers(candidates)
        }
    }

    /** The decision where memory binds. */
    private fun judge(
        needs: Needs,
        candidates: List<BackendEntry>,
        ready: List<BackendEntry>,
        now: Timestamp,
    ): RoomDecision {
        if (isCalm(needs, candidates, now)) return RoomDecision.Servers(candidates)
        val room = requiredRoom(needs, ready, now)
        val unreported = unreportedTokens(needs, room, candidates, now)
        val roomy = candidates.filter { missingTokens(it, needs, room, unreported, now) <= 0 }
        if (roomy.isNotEmpty()) return RoomDecision.Servers(roomy)
        val missing = candidates.minOf { missingTokens(it, needs, room, unreported, now) }
        return RoomDecision.Taken(missing, freeAt(missing, needs, ready.size, now))
    }

    /** What [request] needs of the servers of its pool, all of which have the memory that the pool declares. */
    private class Needs(
        val request: SelectionRequest,
        val capacityTokens: Long,
        /** Tokens of the request at a server that holds none of its parts. */
        val wholeTokens: Long,
        val isTooLarge: Boolean,
    ) {
        /** Those without the parts that other requests may share. */
        val ownTokens =
            wholeTokens - (
                request.prompt
                    ?.parts
                    ?.dropLast(1)
                    ?.sumOf { it.tokens.toLong() } ?: 0
            )
    }

    /**
     * Tokens that must be free for a request of any size.
     *
     * @property reservedServer gets no request that does not leave room for [reservedTokens], unless it is as large.
     */
    private class RequiredRoom(
        val tokens: Long,
        val reservedServer: ServerId?,
        val reservedTokens: Long,
    )

    /** Null if the pool declares no memory, or if [request] is no prompt. */
    private fun needs(request: SelectionRequest, servers: List<BackendEntry>): Needs? {
        val prompt = request.prompt ?: return null
        val capacity = servers.firstOrNull()?.let { memory.capacityTokens(it.id) } ?: return null
        val whole = memory.wholeTokens(prompt, request.route, capacity)
        return Needs(request, capacity, whole, isTooLarge = prompt.promptTokens >= capacity)
    }

    /**
     * Whether every server obviously has room, so that nothing needs to be reckoned: the request takes less than a
     * quarter of a server, and no server has more than half of its memory committed.
     */
    private fun isCalm(needs: Needs, servers: List<BackendEntry>, now: Timestamp): Boolean =
        needs.wholeTokens * CALM_REQUEST_PARTS < needs.capacityTokens &&
            servers.none { memory.committedTokens(it, now) * CALM_COMMITTED_PARTS > needs.capacityTokens }

    /** Whether requests in all slots of a server could exceed its memory. */
    private fun isBound(needs: Needs, ready: List<BackendEntry>): Boolean {
        val slots = ready.maxOfOrNull { it.slots } ?: return false
        return memory.demand(needs.request.pool).isBound(slots, needs.capacityTokens)
    }

    private fun requiredRoom(needs: Needs, ready: List<BackendEntry>, now: Timestamp): RequiredRoom {
        val demand = memory.demand(needs.request.pool)
        val part = needs.capacityTokens / RESERVED_PARTS
        val general = minOf(demand.largestTokens(now), part)
        val refused = demand.refusedTokens(now)
        if (refused <= part) return RequiredRoom(general, reservedServer = null, reservedTokens = 0)
        val server = ready.maxByOrNull { StableHash.fraction(needs.request.pool.name, it.id.name) }?.id
        return RequiredRoom(general, server, refused)
    }

    /** Tokens that [server] lacks; not positive if it has room. */
    private fun missingTokens(
        server: BackendEntry,
        needs: Needs,
        room: RequiredRoom,
        unreported: Long,
        now: Timestamp,
    ): Long {
        val request = needs.request
        val prompt = request.prompt ?: return 0
        val free = needs.capacityTokens - memory.committedTokens(server, now)
        val own = memory.additionalTokens(server.id, prompt, request.route, needs.capacityTokens)
        // The caller of a broken stream waits in the middle of it, so nothing is reserved for others.
        if (isRepeated(request)) return minOf(own, needs.capacityTokens) - free
        val isReserved = server.id == room.reservedServer && needs.wholeTokens < room.reservedTokens
        if (isReserved) return own + room.reservedTokens + unreported - free
        // An empty server takes whatever fits.
        return minOf(maxOf(own, room.tokens) + unreported, needs.capacityTokens) - free
    }

    /** Tokens that the other routers may have sent to one of [servers] since their last reports. */
    private fun unreportedTokens(needs: Needs, room: RequiredRoom, servers: List<BackendEntry>, now: Timestamp): Long {
        val others = routers() - 1
        if (others <= 0 || isRepeated(needs.request)) return 0
        val open = servers.count { missingTokens(it, needs, room, unreported = 0, now) <= 0 }
        if (open == 0) return 0
        val demand = memory.demand(needs.request.pool)
        val seconds = loads.reportAgeSeconds(now).coerceAtMost(MAXIMUM_AGE_SECONDS)
        return demand.tokensOfArrivals(demand.askedPerSecond(now) * others * seconds / open, now)
    }

    private fun isRepeated(request: SelectionRequest) = request.excluded.isNotEmpty()

    /** When the [servers] servers of the pool will have freed [missing] tokens each, as fast as they did recently. */
    private fun freeAt(missing: Long, needs: Needs, servers: Int, now: Timestamp): Timestamp? {
        val freed = memory.demand(needs.request.pool).freedPerSecond(now) * routers() / servers.coerceAtLeast(1)
        if (freed <= 0) return null
        return now.plusMicroseconds((missing / freed * Timestamp.MICROSECONDS_PER_SECOND).toLong())
    }

    private companion object {
        /** A request that needs less than one in this number of parts of a server is no reason to reckon. */
        const val CALM_REQUEST_PARTS = 4

        /** A server with less than one in this number of parts committed has room for what is not reported yet. */
        const val CALM_COMMITTED_PARTS = 2

        /** A request that needs a larger part of a server has room reserved on one server only. */
        const val RESERVED_PARTS = 8

        /** Reports that are older have expired. */
        const val MAXIMUM_AGE_SECONDS = 1.0
    }
}
