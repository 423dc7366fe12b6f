package azuredale.command

import kotlin.system.exitProcess

/** Entry point of the `azuredale` binary. */
public fun main(arguments: Array<String>) {
    // Daemons log to standard output; other commands keep it for their results. Read by logback.xml at its first use.
    if (arguments.firstOrNull() in daemons) System.setProperty("azuredale.log.target", "System.out")
    val terminal = Terminal(System.out, System.err)
    exitProcess(CommandLine().run(arguments.toList(), terminal))
}

private val daemons = setOf("gateway", "router")
