package azuredale.configuration

import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import java.io.StringReader

/** A value with the line number of its key. */
internal data class IniEntry(
    val value: String,
    val line: Int,
)

/** A section. [header] is the text in brackets with normalized spaces, such as `server engine-1`. */
internal data class IniSection(
    val header: String,
    val line: Int,
    val entries: Map<String, IniEntry>,
) {
    /** First word of the header. */
    val kind: String get() = header.substringBefore(' ')

    /** The header after its first word, or empty. */
    val name: String get() = header.substringAfter(' ', missingDelimiterValue = "")
}

/** INI text split into sections, with its syntax errors. */
internal data class IniText(
    val sections: List<IniSection>,
    val errors: List<ConfigurationError>,
)

/**
 * Parses INI text with commons-configuration and adds line numbers, which that library does not report.
 *
 * Invalid lines are blanked before the library parses the text, so that its result agrees with the line scan. The
 * library would merge duplicate sections, join continued lines and accept a key without a value.
 */
internal object IniReader {
    fun read(text: String): IniText {
        val scanner = IniLineScanner(text)
        val values = valuesOf(scanner.cleanText()) ?: return IniText(emptyList(), scanner.errors + unreadable())
        val sections =
            scanner.sections.map { section ->
                val keys = values[section.header].orEmpty()
                IniSection(
                    header = section.header,
                    line = section.line,
                    entries = section.keys.mapValues { (key, line) -> IniEntry(keys[key].orEmpty(), line) },
                )
            }
        return IniText(sections, scanner.errors)
    }

    private fun valuesOf(text: String): Map<String, Map<String, String>>? {
        val configuration = INIConfiguration()
        try {
            configuration.read(StringReader(text))
        } catch (_: ConfigurationException) {
            return null
        }
        // Reads raw node values, because the library's getters interpolate ${...}.
        val root = configuration.nodeModel.nodeHandler.rootNode
        return root.children.associate { section ->
            section.nodeName to section.children.associate { it.nodeName to it.value?.toString().orEmpty() }
        }
    }

    private fun unreadable() = ConfigurationError(0, "", null, "the text cannot be read", "INI with sections and keys")
}
