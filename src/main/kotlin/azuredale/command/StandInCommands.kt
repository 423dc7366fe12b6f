package azuredale.command

import azuredale.identity.NetworkAddress
import azuredale.standin.EngineSettings
import azuredale.standin.EngineStandIn
import azuredale.standin.PlatformStandIn
import azuredale.standin.ServiceStandIn
import io.vertx.core.Vertx
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Option

/** Base class of commands that run a stand-in server. Stand-ins listen on the loopback interface only. */
internal abstract class StandInCommand(summary: String) : Command(summary) {
    @field:Option(name = "--port", required = true, metaVar = "PORT", usage = "port on 127.0.0.1; 0 for any free port")
    var port: Int = 0

    override fun run(terminal: Terminal): Int {
        if (port !in 0..MAXIMUM_PORT) throw usageError("--port: $port is not between 0 and $MAXIMUM_PORT")
        return runBlocking {
            try {
                val actual = start(Vertx.vertx())
                terminal.output.appendLine("listening on $LOOPBACK:$actual")
                awaitCancellation()
            } catch (failure: java.io.IOException) {
                terminal.errors.appendLine("cannot listen on $LOOPBACK:$port: ${failure.message}")
                ExitCode.FAILURE
            }
        }
    }

    /** Starts the stand-in and returns the port that it listens on. */
    protected abstract suspend fun start(vertx: Vertx): Int

    protected companion object {
        const val LOOPBACK: String = "127.0.0.1"
        private const val MAXIMUM_PORT = 65_535
    }
}

/** `azuredale stand-in platform`. */
internal class PlatformStandInCommand : StandInCommand("run a stand-in for the key-value service and the VM list") {
    override suspend fun start(vertx: Vertx): Int = PlatformStandIn(vertx).start(port)
}

/** `azuredale stand-in engine`. */
internal class EngineStandInCommand : StandInCommand("run a stand-in for a model engine") {
    @field:Option(name = "--slots", metaVar = "N", usage = "maximum number of concurrent requests")
    var slots: Int = EngineSettings().slots

    @field:Option(name = "--tokens-per-second", metaVar = "N", usage = "tokens generated per second for each request")
    var tokensPerSecond: Double = EngineSettings().tokensPerSecond

    override suspend fun start(vertx: Vertx): Int {
        val address = NetworkAddress(LOOPBACK, port)
        val settings =
            EngineSettings(
                address = address,
                slots = slots,
                tokensPerSecond = tokensPerSecond,
            )
        return EngineStandIn(vertx, settings).also { it.start() }.port
    }
}

/** `azuredale stand-in service`. */
internal class ServiceStandInCommand : StandInCommand("run a stand-in for a plain service that records executions") {
    override suspend fun start(vertx: Vertx): Int =
        ServiceStandIn(vertx, NetworkAddress(LOOPBACK, port)).also { it.start() }.port
}
