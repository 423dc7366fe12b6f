package azuredale.command

import org.kohsuke.args4j.Option

/** Where a command writes; [output] is for results and [errors] for everything else. */
internal class Terminal(
    val output: Appendable,
    val errors: Appendable,
)

/** Exit codes of every command. */
internal object ExitCode {
    const val SUCCESS = 0
    const val FAILURE = 1
    const val USAGE = 2
}

/** A subcommand; its annotated fields are filled by args4j before [run]. */
internal abstract class Command(val summary: String) {
    @field:Option(name = "--help", aliases = ["-h"], help = true, usage = "print this help")
    var isHelpRequested: Boolean = false

    /** Runs the command and returns the exit code. */
    abstract fun run(terminal: Terminal): Int
}
