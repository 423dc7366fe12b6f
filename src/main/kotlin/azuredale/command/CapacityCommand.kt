package azuredale.command

import azuredale.measure.runCapacity

/** `azuredale capacity`. */
internal class CapacityCommand : Command("measure memory, processor time and bytes of one router at the design size") {
    override fun run(terminal: Terminal): Int = runCapacity(terminal.output)
}
