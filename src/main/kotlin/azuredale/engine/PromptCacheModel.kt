package azuredale.engine

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.ServerId

/**
 * Model of the prompt caches of the backend servers, based on the requests that routers sent to them.
 *
 * Like the engines' own caches, each modelled cache evicts the least recently used parts.
 *
 * @param capacityTokens tokens of cached parts that a server is expected to keep.
 */
internal class PromptCacheModel(private val capacityTokens: (ServerId) -> Long) {
    private class CachedParts {
        /** Token count of each part by id, least recently used first. */
        val parts = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
        var tokens = 0L
    }

    private val servers = HashMap<ServerId, CachedParts>()

    /** Tokens of [prompt] that are probably cached at [server]: the longest prefix of cached parts. */
    fun cachedTokens(server: ServerId, prompt: PromptShape): Int {
        val cached = servers[server]?.parts ?: return 0
        var tokens = 0
        for (part in prompt.parts) {
            if (!cached.containsKey(part.id)) break
            tokens += part.tokens
        }
        return tokens
    }

    /** Records that [server] processed [parts], without the last part of a prompt, which no other request shares. */
    fun record(server: ServerId, parts: List<PromptPart>) {
        val cached = servers.getOrPut(server) { CachedParts() }
        parts.forEach { part ->
            val previous = cached.parts.put(part.id, part.tokens)
            cached.tokens += part.tokens - (previous ?: 0)
        }
        val capacity = capacityTokens(server)
        val oldest = cached.parts.entries.iterator()
        while ((cached.tokens > capacity || cached.parts.size > MAXIMUM_PARTS) && oldest.hasNext()) {
            cached.tokens -= oldest.next().value
            oldest.remove()
        }
    }

    /** Removes servers that are not in [present]; a server that restarts has an empty cache. */
    fun retainServers(present: Set<ServerId>) {
        servers.keys.retainAll(present)
    }

    /** Clears the cache of [server] after a restart. */
    fun clear(server: ServerId) {
        servers.remove(server)
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f

        /** Bounds memory; a cache of 500,000 tokens holds fewer parts of typical size. */
        const val MAXIMUM_PARTS = 4_096
    }
}
