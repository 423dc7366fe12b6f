package azuredale.routing

/** Hashes the start of a prompt. Engines identify the entries of their prefix caches by this hash. */
internal object PromptPrefix {
    // Shared system prompts are usually longer, and shorter prompts gain little from a cached prefix.
    private const val LENGTH = 256
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L

    /** Returns the 64-bit FNV-1a hash of the first 256 characters of [prompt]. */
    fun fingerprint(prompt: String): Long {
        var hash = OFFSET_BASIS
        for (index in 0 until minOf(LENGTH, prompt.length)) {
            hash = (hash xor prompt[index].code.toLong()) * PRIME
        }
        return hash
    }
}
