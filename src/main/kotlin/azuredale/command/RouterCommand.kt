package azuredale.command

import azuredale.configuration.ParseResult
import azuredale.configuration.RouterSettings
import azuredale.node.RouterDaemon
import io.vertx.core.Vertx
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.kohsuke.args4j.Option

/** `azuredale router --settings FILE`. */
internal class RouterCommand : Command("run one router until it is drained or terminated") {
    @field:Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings file in INI format")
    var settings: String = ""

    override fun run(terminal: Terminal): Int = when (val parsed = settingsParser().parse(readInputFile(settings))) {
        is ParseResult.Valid -> serve(parsed.value, terminal)
        is ParseResult.Invalid -> {
            parsed.errors.forEach { terminal.errors.appendLine("$settings: $it") }
            ExitCode.FAILURE
        }
    }

    private fun serve(settings: RouterSettings, terminal: Terminal): Int = runBlocking {
        val daemon = RouterDaemon(settings, Vertx.vertx())
        try {
            daemon.start()
        } catch (failure: java.io.IOException) {
            terminal.errors.appendLine("router ${settings.router} cannot start: ${failure.message}")
            return@runBlocking ExitCode.FAILURE
        }
        drainOnTermination(daemon, settings)
        daemon.awaitDrained()
        daemon.stop()
        ExitCode.SUCCESS
    }

    /**
     * Adds a shutdown hook that drains the router on SIGTERM and SIGINT. The process exits when running requests have
     * ended, at the latest after the request deadline.
     */
    private fun drainOnTermination(daemon: RouterDaemon, settings: RouterSettings) {
        val hook =
            Thread {
                if (!daemon.isDrained) {
                    runBlocking {
                        daemon.drain()
                        withTimeoutOrNull(settings.requestDeadlineSeconds * MILLISECONDS_PER_SECOND) {
                            daemon.awaitDrained()
                        }
                    }
                }
            }
        Runtime.getRuntime().addShutdownHook(hook)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
