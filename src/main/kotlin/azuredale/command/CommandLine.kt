package azuredale.command

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.ParserProperties
import java.io.StringWriter

/** Parses the command line and runs the selected command. */
internal class CommandLine(private val commands: Map<String, () -> Command> = allCommands) {
    /** Runs [arguments] and returns the exit code. */
    fun run(arguments: List<String>, terminal: Terminal): Int {
        val name = commandName(arguments)
        val create = commands[name]
        return when {
            arguments.isEmpty() -> usageError(terminal, "a command is required")
            arguments.first() in helpArguments -> printOverview(terminal.output)
            create == null -> usageError(terminal, "command \"${arguments.first()}\" does not exist")
            else -> parseAndRun(name, create(), arguments.drop(name.split(' ').size), terminal)
        }
    }

    private fun commandName(arguments: List<String>): String {
        val pair = arguments.take(2).joinToString(" ")
        return if (pair in commands) pair else arguments.firstOrNull().orEmpty()
    }

    private fun parseAndRun(name: String, command: Command, arguments: List<String>, terminal: Terminal): Int {
        val parser = CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))
        return try {
            parser.parseArgument(arguments)
            if (command.isHelpRequested) printHelp(name, command, parser, terminal.output) else command.run(terminal)
        } catch (failure: CmdLineException) {
            terminal.errors.appendLine("azuredale $name: ${failure.message}")
            terminal.errors.appendLine("Run \"azuredale $name --help\" for the options.")
            ExitCode.USAGE
        }
    }

    private fun printHelp(name: String, command: Command, parser: CmdLineParser, output: Appendable): Int {
        val options = StringWriter()
        parser.printSingleLineUsage(options, null)
        output.appendLine("usage: azuredale $name$options").appendLine(command.summary).appendLine()
        val details = StringWriter()
        parser.printUsage(details, null)
        output.append(details.toString())
        return ExitCode.SUCCESS
    }

    private fun printOverview(output: Appendable): Int {
        output.appendLine("usage: azuredale COMMAND [OPTIONS]").appendLine()
        val width = commands.keys.maxOf { it.length }
        commands.forEach { (name, create) -> output.appendLine("  ${name.padEnd(width)}  ${create().summary}") }
        output.appendLine().appendLine("Run \"azuredale COMMAND --help\" for the options of a command.")
        return ExitCode.SUCCESS
    }

    private fun usageError(terminal: Terminal, message: String): Int {
        terminal.errors.appendLine("azuredale: $message")
        printOverview(terminal.errors)
        return ExitCode.USAGE
    }

    private companion object {
        const val USAGE_WIDTH = 100
        val helpArguments = setOf("--help", "-h", "help")
    }
}

/** All commands by name. */
internal val allCommands: Map<String, () -> Command> =
    linkedMapOf(
        "gateway" to ::GatewayCommand,
        "self-test" to ::SelfTestCommand,
        "explain" to ::ExplainCommand,
        "router" to ::RouterCommand,
        "check" to ::CheckCommand,
        "submit" to ::SubmitCommand,
        "show" to ::ShowCommand,
        "recall" to ::RecallCommand,
        "drain" to ::DrainCommand,
        "report burn" to ::ReportBurnCommand,
        "stand-in platform" to ::PlatformStandInCommand,
        "stand-in engine" to ::EngineStandInCommand,
        "stand-in service" to ::ServiceStandInCommand,
        "demo" to ::DemoCommand,
        "measure" to ::MeasureCommand,
        "capacity" to ::CapacityCommand,
    )
