package azuredale.command

import azuredale.demo.Demo
import org.kohsuke.args4j.Option

/** `azuredale demo`. */
internal class DemoCommand : Command("run a small fleet under load in this process and print the results") {
    @field:Option(name = "--seconds", metaVar = "N", usage = "duration of the load")
    var seconds: Long = 20

    @field:Option(name = "--seed", metaVar = "N", usage = "random seed of the load")
    var seed: Long = 1

    override fun run(terminal: Terminal): Int {
        if (seconds !in 1..MAXIMUM_SECONDS) throw usageError("--seconds must be between 1 and $MAXIMUM_SECONDS")
        val demo = Demo(seconds, seed) { terminal.errors.appendLine(it) }
        return if (demo.run(terminal.output)) ExitCode.SUCCESS else ExitCode.FAILURE
    }

    private companion object {
        const val MAXIMUM_SECONDS = 600L
    }
}
