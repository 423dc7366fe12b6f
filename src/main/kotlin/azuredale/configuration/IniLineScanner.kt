package azuredale.configuration

/** A section found by the line scan. [keys] maps each key to its line number. */
internal class ScannedSection(
    val header: String,
    val line: Int,
) {
    val keys = LinkedHashMap<String, Int>()
}

/** Scans INI text line by line for sections, keys and syntax errors. */
internal class IniLineScanner(text: String) {
    private val lines = text.split("\r\n", "\n", "\r").toMutableList()
    private val found = LinkedHashMap<String, ScannedSection>()
    private val foundErrors = mutableListOf<ConfigurationError>()
    private var current: ScannedSection? = null

    /** Whether the keys that follow belong to a section whose header was rejected. */
    private var isSkipping = false

    val sections: List<ScannedSection> get() = found.values.toList()
    val errors: List<ConfigurationError> get() = foundErrors

    init {
        lines.indices.forEach(::scan)
    }

    /** The text with invalid lines blanked. */
    fun cleanText(): String = lines.joinToString("\n")

    private fun scan(index: Int) {
        val line = lines[index].trim { it.isWhitespace() || it == BYTE_ORDER_MARK }
        val isKept =
            when {
                line.isEmpty() || line.first() in COMMENT_CHARACTERS -> false
                line.any { it.isISOControl() && it != '\t' } ->
                    reject(
                        index,
                        null,
                        "the line has a control character",
                        LINE,
                    )
                line.startsWith('[') -> header(index, line)
                else -> key(index, line)
            }
        if (!isKept) lines[index] = ""
    }

    private fun header(index: Int, line: String): Boolean {
        isSkipping = true
        current = null
        if (!line.endsWith(']')) return reject(index, null, "the section header has no closing bracket", HEADER)
        val header = line.substring(1, line.length - 1).trim().replace(spaces, " ")
        if (header.isEmpty()) return reject(index, null, "the section header is empty", HEADER)
        val earlier = found[header]
        if (earlier != null) {
            return reject(index, header, "the section already starts on line ${earlier.line}", "one section per name")
        }
        isSkipping = false
        current = ScannedSection(header, index + 1).also { found[header] = it }
        lines[index] = "[$header]"
        return true
    }

    private fun key(index: Int, line: String): Boolean {
        val separator = line.indexOf('=')
        val key = line.substring(0, separator.coerceAtLeast(0)).trim()
        val section = current
        return when {
            isSkipping && section == null -> false
            section == null -> reject(index, null, "the line is outside any section", HEADER)
            !keyForm.matches(key) -> reject(index, null, "the line is not a key with a value", "key = value")
            key in section.keys -> duplicate(index, section, key)
            else -> accept(index, section, key, line.substring(separator + 1).trim())
        }
    }

    private fun accept(index: Int, section: ScannedSection, key: String, value: String): Boolean {
        // The library treats a backslash at the end of a line as a continuation.
        if ('\\' in value) return reject(index, null, "the value has a backslash", "a value without backslashes", key)
        if (value.isNotEmpty() && value.first() in QUOTES && !quoted.matches(value)) {
            return reject(index, null, "the value has no closing quote", "a value that ends with its quote", key)
        }
        section.keys[key] = index + 1
        lines[index] = "$key = $value"
        return true
    }

    private fun duplicate(index: Int, section: ScannedSection, key: String): Boolean =
        reject(index, null, "$key is already set on line ${section.keys[key]}", "each key once", key)

    private fun reject(index: Int, header: String?, problem: String, allowed: String, key: String? = null): Boolean {
        foundErrors += ConfigurationError(index + 1, header ?: current?.header.orEmpty(), key, problem, allowed)
        return false
    }

    private companion object {
        const val COMMENT_CHARACTERS = "#;"
        const val QUOTES = "\"'"
        const val BYTE_ORDER_MARK = '\uFEFF'
        const val HEADER = "[kind] or [kind name]"
        const val LINE = "printable characters"
        val spaces = Regex("\\s+")
        val keyForm = Regex("[A-Za-z][A-Za-z0-9-]*")

        /** A quoted value may not contain a backslash or its own quote character, so no escapes are needed. */
        val quoted = Regex("""("[^"\\]*"|'[^'\\]*')(\s+[#;].*)?""")
    }
}
