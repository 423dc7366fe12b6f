package azuredale.command

import kotlin.system.exitProcess

/** Entry point of the `azuredale` binary. */
public fun main(arguments: Array<String>) {
    val terminal = Terminal(System.out, System.err)
    exitProcess(CommandLine().run(arguments.toList(), terminal))
}
