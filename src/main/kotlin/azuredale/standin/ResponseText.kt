package azuredale.standin

/**
 * Response text of [EngineStandIn]. It is derived from the prompt, so that a test can check that a response is complete
 * and belongs to its prompt.
 */
public object ResponseText {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val WORD_LETTERS = 5
    private const val ALPHABET = 26
    private const val SHIFT = 29

    /** The [count] tokens of the response to [prompt]; each is a word and a space. */
    public fun tokens(prompt: String, count: Int): List<String> {
        val seed = prompt.fold(OFFSET_BASIS) { hash, letter -> (hash xor letter.code.toLong()) * PRIME }
        return List(count) { index -> word((seed xor index.toLong()) * PRIME) }
    }

    /** The complete response to [prompt], of [count] tokens. */
    public fun complete(prompt: String, count: Int): String = tokens(prompt, count).joinToString("")

    private fun word(seed: Long): String {
        var state = seed xor (seed ushr SHIFT)
        val letters =
            CharArray(WORD_LETTERS) {
                state = state * PRIME + 1
                'a' + ((state ushr SHIFT) % ALPHABET).toInt()
            }
        return "${letters.concatToString()} "
    }
}
