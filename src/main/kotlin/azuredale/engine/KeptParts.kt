package azuredale.engine

import azuredale.gateway.PromptPart

/**
 * The prompt parts that one server process probably keeps, least recently used first.
 *
 * Parts of running requests do not yield. The others yield as soon as they exceed what running requests leave.
 *
 * @param onHeld called with a part that becomes kept.
 * @param onLost called with a part that is no longer kept.
 */
internal class KeptParts(
    private val onHeld: (String) -> Unit,
    private val onLost: (String) -> Unit,
) {
    private class Part(var tokens: Int) {
        var requests = 0
        var isRead = false
    }

    private val parts = LinkedHashMap<String, Part>(INITIAL_PARTS, LOAD_FACTOR, true)

    /** Tokens of the parts that no running request of this router uses. */
    var idleTokens = 0L
        private set

    /** Tokens of the longest prefix of [prompt] that is kept or on its way; does not count as a use. */
    fun prefixTokens(prompt: List<PromptPart>): Int {
        var tokens = 0
        for (part in prompt) {
            if (!parts.containsKey(part.id)) break
            tokens += part.tokens
        }
        return tokens
    }

    /** Records that the server has read [part], through this router or another one. */
    fun read(part: PromptPart) {
        val kept = use(part)
        kept.isRead = true
    }

    /** Records that a request with [part] was sent, so that the part is on its way and does not yield. */
    fun begin(part: PromptPart) {
        val kept = use(part)
        if (kept.requests++ == 0) idleTokens -= kept.tokens
    }

    /** Records that a running request has been answered, so that its [part] has been read. */
    fun confirm(part: PromptPart) {
        parts[part.id]?.isRead = true
    }

    /** Records the end of a request with [part]; a part that was never read is not kept. */
    fun end(part: PromptPart) {
        val kept = parts[part.id] ?: return
        if (kept.requests == 0 || --kept.requests > 0) return
        idleTokens += kept.tokens
        if (!kept.isRead) remove(part.id, kept.tokens)
    }

    /** Drops the least recently used idle parts until the others fit into [capacityTokens]. */
    fun evict(capacityTokens: Long) {
        if (idleTokens <= capacityTokens && parts.size <= MAXIMUM_PARTS) return
        val oldest = parts.entries.iterator()
        while ((idleTokens > capacityTokens || parts.size > MAXIMUM_PARTS) && oldest.hasNext()) {
            val (id, kept) = oldest.next()
            if (kept.requests > 0) continue
            oldest.remove()
            idleTokens -= kept.tokens
            onLost(id)
        }
    }

    /** Drops all parts; requests that still run change nothing any more. */
    fun clear() {
        parts.keys.forEach(onLost)
        parts.clear()
        idleTokens = 0
    }

    /** Sums [loss], given an id and tokens, of the idle parts that yield if [tokens] more are needed at once. */
    fun sumOfEvicted(tokens: Long, exceptions: List<PromptPart>, loss: (id: String, tokens: Int) -> Double): Double {
        var left = tokens
        var sum = 0.0
        for ((id, kept) in parts) {
            if (left <= 0) break
            if (kept.requests > 0 || exceptions.any { it.id == id }) continue
            left -= kept.tokens
            sum += loss(id, kept.tokens)
        }
        return sum
    }

    private fun use(part: PromptPart): Part {
        val kept =
            parts.getOrPut(part.id) {
                onHeld(part.id)
                Part(0)
            }
        if (kept.requests == 0) idleTokens += part.tokens - kept.tokens
        kept.tokens = part.tokens
        return kept
    }

    private fun remove(id: String, tokens: Int) {
        parts.remove(id)
        idleTokens -= tokens
        onLost(id)
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f

        /** Bounds memory; a cache of 500,000 tokens holds fewer parts of typical size. */
        const val MAXIMUM_PARTS = 4_096
    }
}
