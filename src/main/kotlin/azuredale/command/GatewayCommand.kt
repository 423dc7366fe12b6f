package azuredale.command

import azuredale.platform.GatewayProcess
import azuredale.platform.SettingsFile
import azuredale.platform.SettingsResult
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.io.path.readText

/** `azuredale gateway [--settings FILE] [--set KEY=VALUE]...`. */
internal class GatewayCommand : Command("run one router on the platform until it is terminated") {
    @field:Option(
        name = "--settings",
        metaVar = "FILE",
        usage = "settings file of the platform (default: environment variable AZUREDALE_SETTINGS)",
    )
    var settings: String = System.getenv(SettingsFile.PATH_VARIABLE).orEmpty()

    @field:Option(
        name = "--set",
        metaVar = "KEY=VALUE",
        usage = "setting that replaces the one of the file; may be repeated",
    )
    var overrides: MutableList<String> = mutableListOf()

    override fun run(terminal: Terminal): Int {
        if (settings.isEmpty()) {
            terminal.errors.appendLine("no settings file: pass --settings or set ${SettingsFile.PATH_VARIABLE}")
            return ExitCode.USAGE
        }
        return when (val result = SettingsFile.parse(Path.of(settings).readText(), overrides)) {
            is SettingsResult.Valid -> GatewayProcess(result.settings).run()
            is SettingsResult.Invalid -> {
                result.faults.forEach { terminal.errors.appendLine("$settings: $it") }
                ExitCode.FAILURE
            }
        }
    }
}
