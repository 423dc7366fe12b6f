package azuredale.engine

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.time.Timestamp

/**
 * Memory of one server process that requests take; a prompt part that several of them share counts once.
 *
 * @param onChange called with each change of [committedTokens].
 */
internal class ServerMemory(private val onChange: (Int) -> Unit) {
    private class SharedPart(val tokens: Int) {
        var holders = 0
    }

    private val parts = HashMap<String, SharedPart>()
    private var hasEnded = false

    private val reported = RecentParts()

    /** Tokens that this router's requests in progress take or may still take, without parts that others may share. */
    var committedTokens = 0
        private set

    /** Tokens of the parts that this router's requests in progress may share. */
    var localSharedTokens = 0L
        private set
    private var sharedTokens = 0L
    private var sharedTokensValidUntil = Timestamp.DISTANT_PAST

    /** Records that some router sent [part], which has [tokens], to the server. */
    fun recordReported(part: String, tokens: Int, now: Timestamp) {
        reported.record(part, tokens, now)
        sharedTokensValidUntil = Timestamp.DISTANT_PAST
    }

    /** Tokens of parts that requests in progress may share: those of this router, and those sent recently by any. */
    fun sharedTokens(now: Timestamp): Long {
        // Asked for each server with every prompt, but changed only by prompts and reports that concern this server.
        if (now < sharedTokensValidUntil) return sharedTokens
        var tokens = localSharedTokens + reported.tokens(now)
        parts.forEach { (id, part) -> if (reported.contains(id)) tokens -= part.tokens }
        sharedTokens = tokens
        sharedTokensValidUntil = reported.changesAt
        return tokens
    }

    /** Tokens of [prompt] that requests in progress share with it; has no effect. */
    fun heldTokens(prompt: PromptShape): Int {
        var tokens = 0
        prompt.forEachSharedPart { if (it.id in parts || reported.contains(it.id)) tokens += it.tokens }
        return tokens
    }

    /** Adds a request with [prompt], for whose output [outputTokens] are set aside. */
    fun claim(prompt: PromptShape, outputTokens: Int): MemoryClaim {
        var shared = 0
        sharedTokensValidUntil = Timestamp.DISTANT_PAST
        prompt.forEachSharedPart { part ->
            shared += part.tokens
            val held = parts.getOrPut(part.id) { SharedPart(part.tokens) }
            if (held.holders++ == 0) localSharedTokens += held.tokens
        }
        val own = prompt.promptTokens.coerceAtLeast(0) - shared
        change(own + outputTokens)
        return MemoryClaim(this, prompt, own, outputTokens)
    }

    /** Discards all requests, because the process has ended; their claims have no effect any more. */
    fun end() {
        change(-committedTokens)
        hasEnded = true
    }

    /** Changes what is set aside for the output of a request by [tokens]. */
    fun grow(tokens: Int) = change(tokens)

    /** Removes a request with [prompt] that takes [ownTokens] besides its shared parts. */
    fun release(prompt: PromptShape, ownTokens: Int) {
        sharedTokensValidUntil = Timestamp.DISTANT_PAST
        prompt.forEachSharedPart { part ->
            val held = parts[part.id] ?: return@forEachSharedPart
            if (--held.holders > 0) return@forEachSharedPart
            parts.remove(part.id)
            localSharedTokens -= held.tokens
        }
        change(-ownTokens)
    }

    private fun change(tokens: Int) {
        if (hasEnded || tokens == 0) return
        committedTokens += tokens
        onChange(tokens)
    }

    /** A prompt whose parts do not fit its size shares nothing. */
    private inline fun PromptShape.forEachSharedPart(action: (PromptPart) -> Unit) {
        if (parts.any { it.tokens < 0 } || parts.sumOf { it.tokens.toLong() } > promptTokens) return
        for (index in 0 until parts.size - 1) action(parts[index])
    }
}

/**
 * Memory that one request takes at its server.
 *
 * @property outputTokens tokens set aside for the output.
 */
internal class MemoryClaim(
    private val server: ServerMemory,
    private val prompt: PromptShape,
    private val ownTokens: Int,
    outputTokens: Int,
) {
    /** What was set aside for the output when the request was sent. */
    val predictedTokens = outputTokens
    private var isReleased = false

    var outputTokens = outputTokens
        private set

    /** Tokens generated so far. */
    var generatedTokens = 0
        private set

    /** Records [tokens] of output; beyond what was set aside, the declared maximum counts. */
    fun recordOutput(tokens: Int) {
        generatedTokens += tokens
        if (isReleased || generatedTokens <= outputTokens) return
        val needed = maxOf(generatedTokens, prompt.maximumOutputTokens)
        server.grow(needed - outputTokens)
        outputTokens = needed
    }

    /** Frees the memory; returns the tokens that the request took without its shared parts, 0 if called again. */
    fun release(): Int {
        if (isReleased) return 0
        isReleased = true
        server.release(prompt, ownTokens + outputTokens)
        return ownTokens + outputTokens
    }
}
