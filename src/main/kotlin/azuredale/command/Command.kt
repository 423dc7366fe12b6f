package azuredale.command

import org.kohsuke.args4j.Option

/** Output streams of a command. Results go to [output], everything else to [errors]. */
internal class Terminal(
    val output: Appendable,
    val errors: Appendable,
)

/** Exit codes of all commands. */
internal object ExitCode {
    const val SUCCESS = 0
    const val FAILURE = 1
    const val USAGE = 2
}

/** A subcommand. Before [run] is called, args4j sets its annotated fields from the command line. */
internal abstract class Command(val summary: String) {
    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "print this help")
    var isHelpRequested: Boolean = false

    /** Runs the command and returns the exit code. */
    abstract fun run(terminal: Terminal): Int
}
