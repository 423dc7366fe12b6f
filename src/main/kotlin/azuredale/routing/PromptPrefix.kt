package azuredale.routing

/** Fingerprint of the start of a prompt, by which engines report their prefix caches. */
internal object PromptPrefix {
    // A shared system prompt is usually longer than this; shorter prompts gain little from a cached prefix.
    private const val LENGTH = 256
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L

    /** 64-bit FNV-1a over the first 256 characters of [prompt]. */
    fun fingerprint(prompt: String): Long {
        var hash = OFFSET_BASIS
        for (index in 0 until minOf(LENGTH, prompt.length)) {
            hash = (hash xor prompt[index].code.toLong()) * PRIME
        }
        return hash
    }
}
