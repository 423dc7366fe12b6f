package azuredale.command

import azuredale.platform.GatewayProcess
import azuredale.platform.SettingsFile
import azuredale.platform.SettingsResult
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.io.path.readText

/** `azuredale gateway [--settings FILE]`. */
internal class GatewayCommand : Command("run one router on the platform until it is terminated") {
    @field:Option(
        name = "--settings",
        metaVar = "FILE",
        usage = "settings file of the platform (default: environment variable AZUREDALE_SETTINGS)",
    )
    var settings: String = System.getenv(SettingsFile.PATH_VARIABLE).orEmpty()

    override fun run(terminal: Terminal): Int {
        if (settings.isEmpty()) {
            terminal.errors.appendLine("no settings file: pass --settings or set ${SettingsFile.PATH_VARIABLE}")
            return ExitCode.USAGE
        }
        return when (val result = SettingsFile.parse(Path.of(settings).readText())) {
            is SettingsResult.Valid -> GatewayProcess(result.settings).run()
            is SettingsResult.Invalid -> {
                result.faults.forEach { terminal.errors.appendLine("$settings: $it") }
                ExitCode.FAILURE
            }
        }
    }
}
