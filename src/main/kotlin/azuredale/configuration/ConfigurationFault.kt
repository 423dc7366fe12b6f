package azuredale.configuration

/**
 * One fault of a settings file or document.
 *
 * @property line line number starting at 1, or 0 when the fault concerns the text as a whole.
 * @property section header without brackets, such as `server engine-1`; empty outside any section.
 * @property key the key at fault, or null when the section as a whole is at fault.
 * @property problem what is wrong; never holds the value of a secret.
 * @property allowed what would be accepted.
 */
public data class ConfigurationFault(
    val line: Int,
    val section: String,
    val key: String?,
    val problem: String,
    val allowed: String,
) {
    override fun toString(): String {
        val place = listOfNotNull("line $line", "[$section]".takeIf { section.isNotEmpty() }, key).joinToString(" ")
        return "$place: $problem; allowed: $allowed"
    }
}

/** Result of reading a settings file or a document. */
public sealed interface Parsed<out T> {
    /** The text has no fault. */
    public data class Valid<out T>(val value: T) : Parsed<T>

    /** The text has at least one fault; [faults] lists all of them in order of lines. */
    public data class Invalid(val faults: List<ConfigurationFault>) : Parsed<Nothing>
}
