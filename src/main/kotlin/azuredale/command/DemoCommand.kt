package azuredale.command

import azuredale.demo.Demo
import org.kohsuke.args4j.Option

/** `azuredale demo`. */
internal class DemoCommand : Command("run a small fleet with load in this process and print what happened") {
    @field:Option(name = "--seconds", metaVar = "N", usage = "how long the load lasts")
    var seconds: Long = 20

    @field:Option(name = "--seed", metaVar = "N", usage = "seed of the load")
    var seed: Long = 1

    override fun run(terminal: Terminal): Int {
        if (seconds !in 1..LONGEST_SECONDS) throw usageError("--seconds must be between 1 and $LONGEST_SECONDS")
        val demo = Demo(seconds, seed) { terminal.errors.appendLine(it) }
        return if (demo.run(terminal.output)) ExitCode.SUCCESS else ExitCode.FAILURE
    }

    private companion object {
        const val LONGEST_SECONDS = 600L
    }
}
