package azuredale.standin

/**
 * Text of the engine stand-in: a function of the prompt, so that a test recognises a whole answer to its own prompt.
 */
public object AnswerText {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val WORD_LETTERS = 5
    private const val ALPHABET = 26
    private const val SHIFT = 29

    /** The [count] tokens that answer [prompt]; each is a word with a space. */
    public fun tokens(prompt: String, count: Int): List<String> {
        val seed = prompt.fold(OFFSET_BASIS) { hash, letter -> (hash xor letter.code.toLong()) * PRIME }
        return List(count) { index -> word((seed xor index.toLong()) * PRIME) }
    }

    /** The whole answer to [prompt]. */
    public fun whole(prompt: String, count: Int): String = tokens(prompt, count).joinToString("")

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
