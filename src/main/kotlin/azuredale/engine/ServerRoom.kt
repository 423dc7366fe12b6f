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
 * What other routers send before it is reported is bounded by chance: of all requests that ask for room meanwhile, each
 * server is open to as many as rarely exceed its room, whichever servers they prefer. One number is drawn for each
 * request, and each server is open for a part of all numbers, next to the part of the server before. So a request finds
 * an open server whenever all of them together have room for all requests.
 */
internal class ServerRoom(
    private val memory: EngineMemory,
    private val loads: LoadTracker,
    private val routers: () -> Int,
    private val random: () -> Double,
) {
    /** Ages of the oldest report, in microseconds. */
    private val ages = RecentMaximum(AGE_MICROSECONDS)

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
        ages.add(ageMicroseconds(now), now)
        demand.recordAsked(needs.wholeTokens, needs.ownTokens, now)
        if (!isBound(needs, ready)) return RoomDecision.Servers(candidates)
        val decision = judge(needs, candidates, ready, random, now)
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
            isBound(needs, ready) -> judge(needs, candidates, ready, { EVEN_CHANCE }, now)
            else -> RoomDecision.Servers(candidates)
        }
    }

    /** The decision where memory binds; [draw] returns a random number from 0 to 1. */
    private fun judge(
        needs: Needs,
        candidates: List<BackendEntry>,
        ready: List<BackendEntry>,
        draw: () -> Double,
        now: Timestamp,
    ): RoomDecision {
        val arrivals = arrivals(needs, now)
        if (isCalm(needs, candidates, arrivals, now)) return RoomDecision.Servers(candidates)
        val room = requiredRoom(needs, ready, now)
        val spare = candidates.map { spareTokens(it, needs, room, now) }
        if (arrivals <= 0 || spare.all { it < 0 }) return decision(candidates, needs, ready, now) { spare[it] }
        val demand = memory.demand(needs.request.pool)
        val margin = demand.tokensOfArrivals(arrivals / candidates.size, now)
        val drawn = draw()
        var begin = 0.0
        return decision(candidates, needs, ready, now) { index ->
            val part = if (spare[index] < 0) 0.0 else minOf(demand.arrivalsThatFit(spare[index], now) / arrivals, 1.0)
            val isOpen = part > 0 && ((drawn - begin).mod(1.0) < part || isKept(candidates[index], needs, now))
            begin += part
            if (isOpen) 0 else minOf(spare[index] - margin, -1)
        }
    }

    /** The servers for which [spareTokens] is not negative, or what the best of the others lacks. */
    private fun decision(
        candidates: List<BackendEntry>,
        needs: Needs,
        ready: List<BackendEntry>,
        now: Timestamp,
        spareTokens: (Int) -> Long,
    ): RoomDecision {
        val spare = LongArray(candidates.size) { spareTokens(it) }
        val roomy = candidates.filterIndexed { index, _ -> spare[index] >= 0 }
        if (roomy.isNotEmpty()) return RoomDecision.Servers(roomy)
        return taken(-spare.max(), needs, ready.size, now)
    }

    private fun taken(missing: Long, needs: Needs, servers: Int, now: Timestamp) =
        RoomDecision.Taken(missing, freeAt(missing, needs, servers, now))

    /** Whether [server] is empty and the request so large that it would hardly ever find room for more than itself. */
    private fun isKept(server: BackendEntry, needs: Needs, now: Timestamp) =
        needs.isLarge && memory.committedTokens(server, now) == 0L

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

        /** Whether one server of the pool is kept for requests of the size while they find no room. */
        val isLarge = wholeTokens > capacityTokens / RESERVED_PARTS
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
     * quarter of a server, no server has more than half of its memory committed, and all [arrivals] together would take
     * less than the other half of one.
     */
    private fun isCalm(needs: Needs, servers: List<BackendEntry>, arrivals: Double, now: Timestamp): Boolean =
        needs.wholeTokens * CALM_REQUEST_PARTS < needs.capacityTokens &&
            memory.demand(needs.request.pool).tokensOfArrivals(arrivals, now) * CALM_COMMITTED_PARTS <
            needs.capacityTokens &&
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

    /** Tokens that [server] has beyond those that the request requires; negative if it lacks some. */
    private fun spareTokens(server: BackendEntry, needs: Needs, room: RequiredRoom, now: Timestamp): Long {
        val request = needs.request
        val prompt = request.prompt ?: return 0
        val free = needs.capacityTokens - memory.committedTokens(server, now)
        val own = memory.additionalTokens(server.id, prompt, request.route, needs.capacityTokens)
        // The caller of a broken stream waits in the middle of it, so nothing is reserved for others.
        if (isRepeated(request)) return free - minOf(own, needs.capacityTokens)
        val isReserved = server.id == room.reservedServer && needs.wholeTokens < room.reservedTokens
        if (isReserved) return free - own - room.reservedTokens
        return free - minOf(maxOf(own, room.tokens), needs.capacityTokens)
    }

    /**
     * Requests that ask the other routers for room while the oldest report gets as old as one of the last second was.
     *
     * The chance of a request must not depend on the present age: what others sent while reports were newer, and their
     * chance better, is still unknown here.
     */
    private fun arrivals(needs: Needs, now: Timestamp): Double {
        val others = routers() - 1
        if (others <= 0 || isRepeated(needs.request)) return 0.0
        val seconds = maxOf(ageMicroseconds(now), ages.value(now)).toDouble() / Timestamp.MICROSECONDS_PER_SECOND
        return memory.demand(needs.request.pool).askedPerSecond(now) * others * seconds
    }

    private fun ageMicroseconds(now: Timestamp): Long =
        (loads.reportAgeSeconds(now).coerceAtMost(MAXIMUM_AGE_SECONDS) * Timestamp.MICROSECONDS_PER_SECOND).toLong()

    private fun isRepeated(request: SelectionRequest) = request.excluded.isNotEmpty()

    /** When the [servers] servers of the pool will have freed [missing] tokens each, as fast as they did recently. */
    private fun freeAt(missing: Long, needs: Needs, servers: Int, now: Timestamp): Timestamp? {
        val freed = memory.demand(needs.request.pool).freedPerSecond(now) * routers() / servers.coerceAtLeast(1)
        if (freed <= 0) return null
        return now.plusMicroseconds((missing / freed * Timestamp.MICROSECONDS_PER_SECOND).toLong())
    }

    private companion object {
        /** A preview tells what is more probable. */
        const val EVEN_CHANCE = 0.5

        /** A request that needs less than one in this number of parts of a server is no reason to reckon. */
        const val CALM_REQUEST_PARTS = 4

        /** A server with less than one in this number of parts committed has room for what is not reported yet. */
        const val CALM_COMMITTED_PARTS = 2

        /** A request that needs a larger part of a server has room reserved on one server only. */
        const val RESERVED_PARTS = 8

        /** Reports that are older have expired. */
        const val MAXIMUM_AGE_SECONDS = 1.0

        /** Longer than the time between two reports. */
        const val AGE_MICROSECONDS = Timestamp.MICROSECONDS_PER_SECOND / 2
    }
}
