package azuredale.command

import azuredale.console.FleetStatus
import azuredale.console.OperatorHttpServer
import io.vertx.core.http.HttpMethod
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

/** `azuredale submit FILE`. */
internal class SubmitCommand : OperatorCommand("submit a document; it is accepted or rejected as a whole") {
    @field:Argument(required = true, metaVar = "FILE", usage = "document in INI format")
    var file: String = ""

    @field:Option(
        name = "--revision",
        metaVar = "N",
        usage = "revision that the document was edited from (default: the current one)",
    )
    var revision: Long? = null

    override fun run(terminal: Terminal): Int {
        val text = readInputFile(file)
        var baseRevision = revision
        if (baseRevision == null) {
            val status =
                sendRequest(terminal, HttpMethod.GET, "/v1/show") {
                    baseRevision = Json.decodeFromString(FleetStatus.serializer(), it.bodyAsString().orEmpty()).revision
                    ExitCode.SUCCESS
                }
            if (status != ExitCode.SUCCESS) return status
        }
        val parameters = mapOf("revision" to baseRevision.toString(), "submission" to UUID.randomUUID().toString())
        return sendRequest(terminal, HttpMethod.PUT, "/v1/document", parameters, text) {
            terminal.output.appendLine(it.bodyAsString())
            ExitCode.SUCCESS
        }
    }
}

/** `azuredale show`. */
internal class ShowCommand : OperatorCommand("show the members, pools, teams and grants known to one router") {
    @field:Option(name = "--json", usage = "print JSON")
    var isJson: Boolean = false

    @field:Option(name = "--document", usage = "print the current document instead")
    var printsDocument: Boolean = false

    override fun run(terminal: Terminal): Int = if (printsDocument) {
        sendRequest(terminal, HttpMethod.GET, "/v1/document") {
            terminal.errors.appendLine("revision ${it.getHeader(OperatorHttpServer.REVISION_HEADER)}")
            terminal.output.append(it.bodyAsString())
            ExitCode.SUCCESS
        }
    } else {
        sendRequest(terminal, HttpMethod.GET, "/v1/show") {
            val status = Json.decodeFromString(FleetStatus.serializer(), it.bodyAsString().orEmpty())
            if (isJson) terminal.output.appendLine(it.bodyAsString()) else printStatus(status, terminal.output)
            ExitCode.SUCCESS
        }
    }
}

/** `azuredale recall BATCH`. */
internal class RecallCommand : OperatorCommand("withdraw a batch of servers, model versions or adapters from service") {
    @field:Argument(required = true, metaVar = "BATCH", usage = "name of the batch in the document")
    var batch: String = ""

    @field:Option(name = "--reason", required = true, metaVar = "TEXT", usage = "reason, shown to other operators")
    var reason: String = ""

    override fun run(terminal: Terminal): Int {
        val parameters = mapOf("batch" to batch, "reason" to reason, "submission" to UUID.randomUUID().toString())
        return sendRequest(terminal, HttpMethod.POST, "/v1/recall", parameters) {
            terminal.output.appendLine(it.bodyAsString())
            ExitCode.SUCCESS
        }
    }
}

/** `azuredale drain`. */
internal class DrainCommand : OperatorCommand("shut down a router after its running requests have ended") {
    override fun run(terminal: Terminal): Int = sendRequest(terminal, HttpMethod.POST, "/v1/drain") {
        terminal.output.appendLine(it.bodyAsString())
        ExitCode.SUCCESS
    }
}

/** `azuredale report burn`. */
internal class ReportBurnCommand : OperatorCommand("report how fast teams use up their error budgets") {
    @field:Option(name = "--json", usage = "print JSON")
    var isJson: Boolean = false

    override fun run(terminal: Terminal): Int {
        val parameters = mapOf("format" to if (isJson) "json" else "text")
        return sendRequest(terminal, HttpMethod.GET, "/v1/report/burn", parameters) {
            terminal.output.appendLine(it.bodyAsString())
            ExitCode.SUCCESS
        }
    }
}
