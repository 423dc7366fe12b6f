package azuredale.command

import kotlin.system.exitProcess

/** Entry point of the `azuredale` binary. */
public fun main(arguments: Array<String>) {
    // Daemons log to standard output, where other commands print their results. This must be set before the first use
    // of logging, when LogConfigurator reads it.
    if (arguments.firstOrNull() in daemonCommands) System.setProperty("azuredale.log.target", "System.out")
    val terminal = Terminal(System.out, System.err)
    // Parsing options by reflection takes a tenth of a router's start on a small VM, and most have none.
    if (arguments.contentEquals(arrayOf("gateway"))) exitProcess(GatewayCommand().run(terminal))
    exitProcess(CommandLine().run(arguments.toList(), terminal))
}

private val daemonCommands = setOf("gateway", "router")
