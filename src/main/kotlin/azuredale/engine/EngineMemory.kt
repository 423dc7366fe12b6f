package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.gateway.PromptShape
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/**
 * How much of the model engines' memory the requests in progress take.
 *
 * What requests have for themselves is added up over all routers. A prompt part that several of them share at a server
 * counts once, from when a router sent it until its last request ended, or two to four seconds for those of others.
 *
 * @param declaredTokens memory of a server for running requests and cached prompt parts, in tokens; 0 if not declared.
 */
internal class EngineMemory(
    private val loads: LoadTracker,
    private val declaredTokens: (ServerId) -> Long,
) {
    private class Process(
        val startedAtMilliseconds: Long?,
        val memory: ServerMemory,
    ) {
        /** The most that all routers together had committed, to tell why the process ended. */
        val peak = RecentMaximum(PEAK_MICROSECONDS)
    }

    private val processes = HashMap<ServerId, Process>()
    private val demands = HashMap<PoolId, PoolDemand>()
    private val lengths = HashMap<String, OutputLengths>()

    /** How well the output of requests was predicted. */
    val predictions = OutputPredictions()

    /** Memory of [server] in tokens, null if the catalog declares none. */
    fun capacityTokens(server: ServerId): Long? = declaredTokens(server).takeIf { it > 0 }

    /** Tokens that the requests in progress at [server] take or may still take, of all routers together. */
    fun committedTokens(server: BackendEntry, now: Timestamp): Long {
        val shared = processes[server.id]?.memory?.sharedTokens(now) ?: 0
        return loads.committedTokens(server.id, server.idHash, now) + shared
    }

    /** Records that some router sent a prompt part with [tokens] to [server]. */
    fun recordReported(server: BackendEntry, part: String, tokens: Int, now: Timestamp) {
        if (capacityTokens(server.id) == null) return
        (processes[server.id] ?: start(server)).memory.recordReported(part, tokens, now)
    }

    /** Tokens at [server] that no request in progress takes, null without a declared memory; cached parts yield. */
    fun freeTokens(server: BackendEntry, now: Timestamp): Long? =
        capacityTokens(server.id)?.let { (it - committedTokens(server, now)).coerceAtLeast(0) }

    /**
     * Tokens at [server] for kept parts that no request of this router uses, null without a declared memory. The parts
     * that other routers sent recently are among them, so they do not count as taken.
     */
    fun tokensForKeptParts(server: BackendEntry, now: Timestamp): Long? {
        val capacity = capacityTokens(server.id) ?: return null
        val shared = processes[server.id]?.memory?.localSharedTokens ?: 0
        val taken = loads.load(server.id, server.idHash, now).committedTokens + shared
        return (capacity - taken).coerceAtLeast(0)
    }

    /** The most that requests took at the process of [server] within the last seconds, in tokens. */
    fun peakTokens(server: BackendEntry, now: Timestamp): Long {
        val process = processes[server.id]?.takeIf { it.startedAtMilliseconds == server.startedAtMilliseconds }
        return maxOf(process?.peak?.value(now) ?: 0, committedTokens(server, now))
    }

    /** Whether requests recently needed more memory than [server] has. */
    fun wasExceeded(server: BackendEntry, now: Timestamp): Boolean =
        capacityTokens(server.id)?.let { peakTokens(server, now) > it } ?: false

    /** What requests to [pool] usually take. */
    fun demand(pool: PoolId): PoolDemand = demands.getOrPut(pool) { PoolDemand() }

    /** Tokens that a request of [route] takes at a server with [capacity] tokens that holds none of its parts. */
    fun wholeTokens(prompt: PromptShape, route: String, capacity: Long): Long =
        prompt.promptTokens.coerceAtLeast(0).toLong() + outputTokens(prompt, route, capacity)

    /** Tokens that a request of [route] would take at [server], which has [capacity], besides those in progress. */
    fun additionalTokens(server: ServerId, prompt: PromptShape, route: String, capacity: Long): Long {
        val held = processes[server]?.memory?.heldTokens(prompt) ?: 0
        return wholeTokens(prompt, route, capacity) - held
    }

    /** Records that a request of [route] with [prompt] is sent to [server]; null without a declared memory. */
    fun claim(server: BackendEntry, prompt: PromptShape, route: String, now: Timestamp): MemoryClaim? {
        val capacity = capacityTokens(server.id) ?: return null
        val process = processes[server.id] ?: start(server)
        val claim = process.memory.claim(prompt, outputTokens(prompt, route, capacity))
        process.peak.add(committedTokens(server, now), now)
        return claim
    }

    /** Records that the request of [claim] ended; [isComplete] if it generated all of its output. */
    fun release(server: BackendEntry, claim: MemoryClaim, route: String, isComplete: Boolean, now: Timestamp) {
        demand(server.pool).recordFreed(claim.release(), now)
        if (!isComplete || claim.generatedTokens == 0) return
        predictions.record(claim.predictedTokens, claim.generatedTokens)
        if (route !in lengths && lengths.size >= MAXIMUM_ROUTES) lengths.clear()
        lengths.getOrPut(route) { OutputLengths() }.record(claim.generatedTokens)
    }

    /** Discards what requests took at processes that have ended. */
    fun updateDirectory(directory: ServerDirectory) {
        processes.entries.removeIf { (id, process) ->
            val entry = directory.entries[id]
            val hasEnded = entry != null && entry.startedAtMilliseconds != process.startedAtMilliseconds
            if (hasEnded) process.memory.end()
            hasEnded || (entry == null && process.memory.committedTokens == 0)
        }
    }

    private fun start(server: BackendEntry): Process {
        val memory = ServerMemory { loads.add(server.id, ServerLoad(committedTokens = it)) }
        return Process(server.startedAtMilliseconds, memory).also { processes[server.id] = it }
    }

    /** Tokens to set aside for output; no request takes more than the [capacity] of a server. */
    private fun outputTokens(prompt: PromptShape, route: String, capacity: Long): Int {
        val rest = (capacity - prompt.promptTokens.coerceAtLeast(0)).coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
        val maximum = prompt.maximumOutputTokens.coerceIn(0, rest)
        return lengths[route]?.claim(maximum) ?: maximum
    }

    private companion object {
        /** Longer than it takes to notice the end of a process. */
        const val PEAK_MICROSECONDS = 2 * Timestamp.MICROSECONDS_PER_SECOND

        /** Bounds memory: 2 KB a route. */
        const val MAXIMUM_ROUTES = 1_000
    }
}
