package azuredale.platform

/** Measures how deeply JSON text is nested, without recursion, before it is given to a parser that recurses. */
internal object JsonNesting {
    /** Largest number of arrays and objects in [text] that are open at the same time; [text] need not be valid. */
    fun depth(text: String): Int {
        var depth = 0
        var deepest = 0
        var isInString = false
        var isEscaped = false
        for (character in text) {
            when {
                isEscaped -> isEscaped = false
                isInString -> {
                    if (character == '\\') isEscaped = true
                    if (character == '"') isInString = false
                }
                character == '"' -> isInString = true
                character == '[' || character == '{' -> deepest = maxOf(deepest, ++depth)
                character == ']' || character == '}' -> depth--
            }
        }
        return deepest
    }
}
