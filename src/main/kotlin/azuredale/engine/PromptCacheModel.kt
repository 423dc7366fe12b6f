package azuredale.engine

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.ServerId

/** The shared parts of a running request at its server. */
internal class PartsInUse(
    private val kept: KeptParts,
    private val parts: List<PromptPart>,
    private val trim: () -> Unit,
) {
    /** Records that the server has read the parts. */
    fun confirm() = parts.forEach(kept::confirm)

    /** Records that the request has ended; parts that the server did not read are not kept. */
    fun end() {
        parts.forEach(kept::end)
        trim()
    }
}

/**
 * Model of the prompt caches of the backend servers, based on the requests that routers sent to them.
 *
 * Like the engines' own caches, each modelled cache evicts the least recently used parts that no request uses.
 *
 * @param capacityTokens tokens of parts without running requests that a server is expected to keep now.
 */
internal class PromptCacheModel(private val capacityTokens: (ServerId) -> Long) {
    private val servers = HashMap<ServerId, KeptParts>()
    private val holders = HashMap<String, Int>()

    /** Tokens of [prompt] that are probably cached at [server]: the longest prefix of cached parts. */
    fun cachedTokens(server: ServerId, prompt: PromptShape): Int = servers[server]?.prefixTokens(prompt.parts) ?: 0

    /** Number of servers that keep the part with [id]. */
    fun holders(id: String): Int = holders[id] ?: 0

    /** Records that [server] processed [parts], without the last part of a prompt, which no other request shares. */
    fun record(server: ServerId, parts: List<PromptPart>) {
        val kept = kept(server)
        parts.forEach(kept::read)
        kept.evict(capacityTokens(server))
    }

    /** Records that a request with the shared [parts] is sent to [server]. */
    fun begin(server: ServerId, parts: List<PromptPart>): PartsInUse {
        val kept = kept(server)
        parts.forEach(kept::begin)
        kept.evict(capacityTokens(server))
        return PartsInUse(kept, parts) { kept.evict(capacityTokens(server)) }
    }

    /** Whether [server] keeps parts that no request uses, which may be pushed out of its memory. */
    fun keepsIdleParts(server: ServerId): Boolean = (servers[server]?.idleTokens ?: 0) > 0

    /**
     * What it costs that [tokens] more at [server] push parts out of its memory, as the sum of [loss] of these parts.
     *
     * @param capacityTokens tokens of parts without running requests that the server is expected to keep now.
     * @param exceptions parts that the tokens belong to, which are in use then.
     */
    fun evictionLoss(
        server: ServerId,
        tokens: Int,
        capacityTokens: Long,
        exceptions: List<PromptPart>,
        loss: (id: String, tokens: Int) -> Double,
    ): Double {
        val kept = servers[server] ?: return 0.0
        val excess = kept.idleTokens + tokens - capacityTokens
        return if (excess <= 0) 0.0 else kept.sumOfEvicted(excess, exceptions, loss)
    }

    /** Removes servers that are not in [present]; a server that restarts has an empty cache. */
    fun retainServers(present: Set<ServerId>) {
        servers.keys.filter { it !in present }.forEach(::clear)
    }

    /** Clears the cache of [server] after its process has ended. */
    fun clear(server: ServerId) {
        servers.remove(server)?.clear()
    }

    private fun kept(server: ServerId) = servers.getOrPut(server) { KeptParts(::held, ::lost) }

    private fun held(id: String) {
        holders.merge(id, 1, Int::plus)
    }

    private fun lost(id: String) {
        holders.computeIfPresent(id) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
