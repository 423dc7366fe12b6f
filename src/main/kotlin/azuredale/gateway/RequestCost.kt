package azuredale.gateway

/** Processor time that a request takes of its router, relative to one with a short answer. */
internal object RequestCost {
    /** Returns the cost of a request with [prompt], which is answered in events of [tokensPerEvent]. */
    fun of(prompt: PromptShape?, tokensPerEvent: Int): Double {
        val tokens = prompt?.likelyOutputTokens?.coerceIn(0, MAXIMUM_TOKENS) ?: return 1.0
        return 1 + tokens.toDouble() / maxOf(tokensPerEvent, 1) / EVENTS_PER_REQUEST
    }

    /** Events that take as much time as reading, starting and ending a request (docs/CAPACITY.md). */
    private const val EVENTS_PER_REQUEST = 60.0

    /** More than any answer; a caller that declares more delays itself no further. */
    private const val MAXIMUM_TOKENS = 10_000
}
