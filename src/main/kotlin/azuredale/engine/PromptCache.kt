package azuredale.engine

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.ServerId

/**
 * What the prompt caches of backend servers probably hold, from the requests that routers sent there.
 *
 * Each server's cache is modelled as the engines manage it: least recently used parts make room.
 *
 * @param capacityTokens share of a server's memory that is reckoned to keep cached parts.
 */
internal class PromptCache(private val capacityTokens: (ServerId) -> Long) {
    private class Server {
        /** Tokens of each part by its id, least recently used first. */
        val parts = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
        var tokens = 0L
    }

    private val servers = HashMap<ServerId, Server>()

    /** Tokens of [prompt] that [server] probably need not read again: whole parts from the start of the prompt. */
    fun cachedTokens(server: ServerId, prompt: PromptShape): Int {
        val held = servers[server]?.parts ?: return 0
        var tokens = 0
        for (part in prompt.parts) {
            if (!held.containsKey(part.id)) break
            tokens += part.tokens
        }
        return tokens
    }

    /** Notes that [server] read [parts]. The last part of a prompt belongs to one request and is left out. */
    fun read(server: ServerId, parts: List<PromptPart>) {
        val held = servers.getOrPut(server) { Server() }
        parts.forEach { part ->
            val before = held.parts.put(part.id, part.tokens)
            held.tokens += part.tokens - (before ?: 0)
        }
        val capacity = capacityTokens(server)
        val oldest = held.parts.entries.iterator()
        while ((held.tokens > capacity || held.parts.size > MAXIMUM_PARTS) && oldest.hasNext()) {
            held.tokens -= oldest.next().value
            oldest.remove()
        }
    }

    /** Forgets servers that are not in [present]; one that starts again has an empty cache. */
    fun retain(present: Set<ServerId>) {
        servers.keys.retainAll(present)
    }

    /** Forgets [server], which has started again. */
    fun forget(server: ServerId) {
        servers.remove(server)
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f

        /** Bounds memory; a cache of 500,000 tokens holds fewer parts of usual size. */
        const val MAXIMUM_PARTS = 4_096
    }
}
