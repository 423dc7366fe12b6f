package azuredale.command

import azuredale.measure.runCapacity

/** `azuredale capacity`. */
internal class CapacityCommand : Command("measure memory, CPU time and traffic of a router at the target fleet size") {
    override fun run(terminal: Terminal): Int = runCapacity(terminal.output)
}
