package azuredale.command

import azuredale.identity.NetworkAddress
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

/** Base class of commands that call the operator interface of a router. */
internal abstract class OperatorCommand(summary: String) : Command(summary) {
    @field:Option(
        name = "--router",
        metaVar = "HOST:PORT",
        usage = "operator address of any router (default: environment variable AZUREDALE_ROUTER)",
    )
    var router: String? = System.getenv("AZUREDALE_ROUTER")

    @field:Option(
        name = "--token-file",
        metaVar = "FILE",
        usage = "file with the operator token (default: environment variable AZUREDALE_TOKEN)",
    )
    var tokenFile: String? = null

    /** Sends a request and passes a successful response to [onSuccess], which returns the exit code. */
    protected fun sendRequest(
        terminal: Terminal,
        method: HttpMethod,
        path: String,
        parameters: Map<String, String> = emptyMap(),
        body: String? = null,
        onSuccess: (HttpResponse<Buffer>) -> Int,
    ): Int {
        val address = parseAddress()
        val token = readToken()
        return runBlocking {
            val vertx = Vertx.vertx()
            try {
                val response = execute(vertx, address, token, method, path, parameters, body)
                if (response.statusCode() in SUCCESS_CODES) onSuccess(response) else reportFailure(terminal, response)
            } catch (failure: java.io.IOException) {
                terminal.errors.appendLine("request to router at $address failed: ${failure.message}")
                ExitCode.FAILURE
            } finally {
                vertx.close().coAwait()
            }
        }
    }

    private suspend fun execute(
        vertx: Vertx,
        address: NetworkAddress,
        token: String,
        method: HttpMethod,
        path: String,
        parameters: Map<String, String>,
        body: String?,
    ): HttpResponse<Buffer> {
        val request =
            WebClient
                .create(vertx)
                .request(method, address.port, address.host, path)
                .putHeader("Authorization", "Bearer $token")
                .timeout(REQUEST_TIMEOUT_MILLISECONDS)
        parameters.forEach { (name, value) -> request.addQueryParam(name, value) }
        return if (body == null) request.send().coAwait() else request.sendBuffer(Buffer.buffer(body)).coAwait()
    }

    private fun reportFailure(terminal: Terminal, response: HttpResponse<Buffer>): Int {
        terminal.errors.appendLine("router returned ${response.statusCode()}: ${response.bodyAsString().orEmpty()}")
        return ExitCode.FAILURE
    }

    private fun parseAddress(): NetworkAddress {
        val text = router ?: throw usageError("--router is required")
        return NetworkAddress.parse(text) ?: throw usageError("--router: \"$text\" is not of the form HOST:PORT")
    }

    private fun readToken(): String {
        val file = tokenFile ?: return System.getenv("AZUREDALE_TOKEN") ?: throw usageError("--token-file is required")
        val path = Path.of(file)
        if (!path.exists()) throw usageError("--token-file: file \"$file\" does not exist")
        return path.readText().trim()
    }

    private companion object {
        const val REQUEST_TIMEOUT_MILLISECONDS = 15_000L
        val SUCCESS_CODES = 200..299
    }
}

/** Creates an exception for a command line error found after parsing. It leads to exit code 2. */
internal fun usageError(message: String): CmdLineException = CmdLineException(null, message, null)
