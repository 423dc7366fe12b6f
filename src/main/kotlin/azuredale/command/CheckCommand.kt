package azuredale.command

import azuredale.configuration.DocumentParser
import azuredale.configuration.ParseResult
import azuredale.configuration.SettingsParser
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.put
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.isRegularFile
import kotlin.io.path.readText

/** `azuredale check FILE`. */
internal class CheckCommand : Command("validate a settings file or a document and print all errors") {
    @field:Argument(required = true, metaVar = "FILE", usage = "settings or document in INI format")
    var file: String = ""

    @field:Option(name = "--json", usage = "print errors as JSON")
    var isJson: Boolean = false

    override fun run(terminal: Terminal): Int {
        val text = readInputFile(file)
        val parsed = if (isSettings(text)) settingsParser().parse(text) else DocumentParser.parse(text)
        val errors = (parsed as? ParseResult.Invalid)?.errors.orEmpty()
        if (isJson) {
            val rows =
                buildJsonArray {
                    errors.forEach { error ->
                        addJsonObject {
                            put("line", error.line)
                            put("section", error.section)
                            put("key", error.key)
                            put("problem", error.problem)
                            put("allowed", error.allowed)
                        }
                    }
                }
            terminal.output.appendLine(rows.toString())
        } else {
            errors.forEach { terminal.output.appendLine("$file: $it") }
            if (errors.isEmpty()) terminal.output.appendLine("$file: no faults")
        }
        return if (errors.isEmpty()) ExitCode.SUCCESS else ExitCode.FAILURE
    }

    /** Settings have sections that documents never have. */
    private fun isSettings(text: String): Boolean =
        text.lineSequence().any { it.trim() in setOf("[router]", "[addresses]", "[secrets]") }
}

/** Reads a file named on the command line. A missing file is a usage error. */
internal fun readInputFile(file: String): String {
    val path = Path.of(file)
    if (!path.exists() || !path.isRegularFile()) throw usageError("file \"$file\" does not exist")
    return path.readText()
}

/** Creates a settings parser that reads secrets from local files. */
internal fun settingsParser(): SettingsParser = SettingsParser { path ->
    Path
        .of(path)
        .takeIf { it.isRegularFile() }
        ?.readText()
}
