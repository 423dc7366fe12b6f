package azuredale.command

import azuredale.explain.ExplainEndpoint
import azuredale.explain.QuestionPart
import azuredale.explain.RoutingExplanation
import azuredale.explain.RoutingQuestion
import azuredale.explain.explanationLines
import azuredale.explain.serverHeader
import azuredale.explain.serverRow
import azuredale.gateway.PromptPart
import azuredale.identity.NetworkAddress
import azuredale.report.printTable
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Option

/** `azuredale explain`: where a request would go now, and why, without sending it. */
internal class ExplainCommand : Command("explain where a request would go now, and why, without sending it") {
    @field:Option(
        name = "--router",
        required = true,
        metaVar = "HOST:PORT,...",
        usage = "readiness addresses of the routers to ask",
    )
    var routers: String = ""

    @field:Option(name = "--route", metaVar = "NAME", usage = "name of the route; otherwise --host and --path")
    var route: String? = null

    @field:Option(name = "--host", metaVar = "HOST", usage = "host of the request")
    var host: String = ""

    @field:Option(name = "--path", metaVar = "PATH", usage = "path of the request")
    var path: String = ""

    @field:Option(name = "--team", metaVar = "NAME", usage = "team of the caller (default: no key)")
    var team: String? = null

    @field:Option(name = "--tokens", metaVar = "PROMPT,OUTPUT", usage = "tokens of the prompt, limit of the output")
    var tokens: String = "0,0"

    @field:Option(name = "--parts", metaVar = "ID:TOKENS,...", usage = "parts of the prompt in order")
    var parts: String = ""

    @field:Option(name = "--left", metaVar = "MS", usage = "how long the caller would wait, in milliseconds")
    var remaining: Long? = null

    @field:Option(name = "--servers", metaVar = "N", usage = "servers to list (default: 10)")
    var listed: Int = DEFAULT_SERVERS

    @field:Option(name = "--json", usage = "print JSON, a line for each router")
    var isJson: Boolean = false

    override fun run(terminal: Terminal): Int {
        val addresses = routers.split(',').map(::address)
        val question = question()
        val fault = question.faults().firstOrNull()
        if (fault != null) throw usageError(fault)
        val answers = runBlocking { ask(addresses, Json.encodeToString(RoutingQuestion.serializer(), question)) }
        answers.forEach { (address, answer) -> print(address, answer, terminal) }
        val explanations = answers.mapNotNull { (_, answer) -> (answer as? Answer.Explained)?.explanation }
        if (explanations.map { it.verdict to it.chosen }.distinct().size > 1) {
            terminal.output.appendLine("The routers differ.")
        }
        return if (explanations.size == answers.size) ExitCode.SUCCESS else ExitCode.FAILURE
    }

    private sealed interface Answer {
        class Explained(
            val text: String,
            val explanation: RoutingExplanation,
        ) : Answer

        class Failed(val detail: String) : Answer
    }

    private suspend fun ask(addresses: List<NetworkAddress>, body: String): List<Pair<NetworkAddress, Answer>> {
        val vertx = Vertx.vertx()
        return try {
            val client = WebClient.create(vertx)
            addresses.map { address ->
                val response =
                    client
                        .post(address.port, address.host, ExplainEndpoint.PATH)
                        .timeout(REQUEST_TIMEOUT_MILLISECONDS)
                        .sendBuffer(Buffer.buffer(body))
                address to answer { response.coAwait().let { it.statusCode() to it.bodyAsString().orEmpty() } }
            }
        } finally {
            vertx.close().coAwait()
        }
    }

    private suspend fun answer(call: suspend () -> Pair<Int, String>): Answer = try {
        val (status, text) = call()
        if (status == OK) {
            Answer.Explained(text, Json.decodeFromString(RoutingExplanation.serializer(), text))
        } else {
            Answer.Failed("status $status: $text")
        }
    } catch (failure: java.io.IOException) {
        Answer.Failed(failure.message.orEmpty())
    } catch (failure: IllegalArgumentException) {
        Answer.Failed("unexpected answer: ${failure.message}")
    }

    private fun print(address: NetworkAddress, answer: Answer, terminal: Terminal) {
        when (answer) {
            is Answer.Failed -> terminal.errors.appendLine("router at $address: ${answer.detail}")
            is Answer.Explained ->
                if (isJson) terminal.output.appendLine(answer.text) else print(answer.explanation, terminal.output)
        }
    }

    private fun print(explanation: RoutingExplanation, output: Appendable) {
        explanationLines(explanation).forEach { output.appendLine(it) }
        val rows = explanation.servers.take(listed).map { serverRow(it, it.server == explanation.chosen) }
        if (rows.isNotEmpty()) printTable(output, serverHeader, rows)
    }

    private fun question(): RoutingQuestion {
        val (prompt, output) = counts()
        return RoutingQuestion(
            route = route,
            host = host,
            path = path,
            team = team,
            promptTokens = prompt,
            outputTokens = output,
            parts = parts.split(',').filter { it.isNotBlank() }.map(::part),
            remainingMilliseconds = remaining,
        )
    }

    private fun counts(): Pair<Int, Int> {
        val numbers = tokens.split(',').map { it.trim().toIntOrNull() ?: throw usageError("--tokens: \"$tokens\"") }
        return numbers.first() to numbers.getOrElse(1) { 0 }
    }

    private fun part(text: String): QuestionPart = PromptPart.parse(text)?.let { QuestionPart(it.id, it.tokens) }
        ?: throw usageError("--parts: \"$text\" is not of the form ID:TOKENS")

    private fun address(text: String): NetworkAddress = NetworkAddress.parse(text.trim())
        ?: throw usageError("--router: \"$text\" is not of the form HOST:PORT")

    private companion object {
        const val OK = 200
        const val DEFAULT_SERVERS = 10

        /** Routers answer when they have time. */
        const val REQUEST_TIMEOUT_MILLISECONDS = 5_000L
    }
}
