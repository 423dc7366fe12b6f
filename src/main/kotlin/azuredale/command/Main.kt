package azuredale.command

/** Entry point of the `azuredale` binary. */
public fun main(arguments: Array<String>) {
    require(arguments.isNotEmpty()) { "a command is required" }
}
