package azuredale.command

import kotlin.system.exitProcess

/** Entry point of the `azuredale` binary. */
public fun main(arguments: Array<String>) {
    // Daemons log to standard output, where other commands print their results. This must be set before the first use
    // of logging, when logback.xml is read.
    if (arguments.firstOrNull() in daemonCommands) System.setProperty("azuredale.log.target", "System.out")
    val terminal = Terminal(System.out, System.err)
    exitProcess(CommandLine().run(arguments.toList(), terminal))
}

private val daemonCommands = setOf("gateway", "router")
