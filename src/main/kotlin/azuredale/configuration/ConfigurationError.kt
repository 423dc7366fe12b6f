package azuredale.configuration

/**
 * A validation error in a settings file or a document.
 *
 * @property line line number, counted from 1, or 0 if the error concerns the whole text.
 * @property section section header without brackets, such as `server engine-1`. Empty outside any section.
 * @property key the invalid or missing key, or null if the error concerns the whole section.
 * @property problem description of the error. Never contains the value of a secret.
 * @property allowed description of the accepted values.
 */
public data class ConfigurationError(
    val line: Int,
    val section: String,
    val key: String?,
    val problem: String,
    val allowed: String,
) {
    override fun toString(): String {
        val location = listOfNotNull("line $line", "[$section]".takeIf { section.isNotEmpty() }, key).joinToString(" ")
        return "$location: $problem; allowed: $allowed"
    }
}

/** Result of parsing a settings file or a document. */
public sealed interface ParseResult<out T> {
    /** The text is valid. */
    public data class Valid<out T>(val value: T) : ParseResult<T>

    /** The text is invalid. [errors] lists all errors, sorted by line. */
    public data class Invalid(val errors: List<ConfigurationError>) : ParseResult<Nothing>
}
