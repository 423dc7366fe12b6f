package azuredale.platform

import azuredale.identity.AdapterName
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Engines over HTTP: `POST /orders` with the desired end state, `GET /load` with the reported one.
 *
 * ```
 * {"models": ["llama@3"], "adapters": ["legal"], "role": "serve", "fencingToken": 42}
 * ```
 */
public class HttpEngineClient(
    vertx: Vertx,
    private val clock: Clock,
) : EngineClient,
    AutoCloseable {
    private val client = WebClient.create(vertx)

    override suspend fun order(
        engine: NetworkAddress,
        desired: DesiredState,
        fencingToken: Long,
        deadline: Timestamp,
    ): OrderAnswer {
        val body = JsonObject().put("fencingToken", fencingToken)
        desired.modelVersions?.let { versions -> body.put("models", JsonArray(versions.map { it.name })) }
        desired.adapters?.let { adapters -> body.put("adapters", JsonArray(adapters.map { it.name })) }
        desired.role?.let { body.put("role", it.name.lowercase()) }
        return before(deadline) {
            when (
                client
                    .post(engine.port, engine.host, "/orders")
                    .sendJsonObject(body)
                    .coAwait()
                    .statusCode()
            ) {
                in SUCCESS -> OrderAnswer.ACCEPTED
                CONFLICT -> OrderAnswer.STALE_TOKEN
                in CLIENT_ERRORS -> OrderAnswer.REFUSED
                else -> OrderAnswer.UNKNOWN
            }
        } ?: OrderAnswer.UNKNOWN
    }

    override suspend fun state(engine: NetworkAddress, deadline: Timestamp): EngineState? = before(deadline) {
        val response = client.get(engine.port, engine.host, "/load").send().coAwait()
        if (response.statusCode() in SUCCESS) response.bodyAsJsonObject()?.let(::read) else null
    }

    override fun close() {
        client.close()
    }

    private fun read(body: JsonObject) = EngineState(
        modelVersions = names(body, "models").map(::ModelVersion).toSet(),
        adapters = names(body, "adapters").map(::AdapterName).toSet(),
        role = EngineRole.entries.find { it.name.lowercase() == body.getString("role") },
    )

    private fun names(body: JsonObject, field: String): List<String> =
        body.getJsonArray(field, JsonArray()).map { it.toString() }

    private suspend fun <T> before(deadline: Timestamp, call: suspend () -> T?): T? {
        val remaining = deadline.microsecondsSince(clock()) / Timestamp.MICROSECONDS_PER_MILLISECOND
        return try {
            withTimeoutOrNull(remaining) { call() }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            log.write(PlatformLogEvent.ENGINE_CALL_FAILED, cause = exception)
            null
        }
    }

    private companion object {
        val log = EventLog("azuredale.platform")
        val SUCCESS = 200..299
        val CLIENT_ERRORS = 400..499
        const val CONFLICT = 409
    }
}
