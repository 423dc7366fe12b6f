package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.store.CallBudget
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.util.concurrent.TimeoutException

/** JSON as the platform writes it; new fields may come and are ignored. */
internal val wireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** Answer of one call to the store. */
internal sealed interface StoreAnswer {
    /** Status 200 with [body]. */
    class Answered(val body: String) : StoreAnswer

    /** Status 404: the key or lease does not exist. */
    data object Missing : StoreAnswer

    /** Status 412: a condition does not hold; [body] has the present items. */
    class Conflict(val body: String) : StoreAnswer

    /** No usable answer. */
    class Failed(val failure: CallFailure) : StoreAnswer
}

/** Sends single calls to the store and sorts failures by whether the call can have had an effect. */
internal class StoreCalls(
    private val client: WebClient,
    private val address: NetworkAddress,
    private val budget: CallBudget,
    private val clock: Clock,
) {
    private val log = EventLog("azuredale.platform")

    /** Sends one call; it ends at [deadline] at the latest, and its connection with it when no answer came. */
    suspend fun send(
        method: HttpMethod,
        path: String,
        query: Map<String, String>,
        body: String?,
        deadline: Timestamp,
    ): StoreAnswer {
        val remaining = deadline.microsecondsSince(clock()) / Timestamp.MICROSECONDS_PER_MILLISECOND
        val answer =
            when {
                remaining <= 0 -> failed(CallFailureReason.DEADLINE_PASSED, "no time left")
                !budget.tryTake() -> failed(CallFailureReason.BUDGET_EXHAUSTED, "the node's call budget is used up")
                else -> exchange(method, path, query, body, remaining)
            }
        if (answer is StoreAnswer.Failed) {
            log.write(PlatformLogEvent.CALL_FAILED, "path" to path, "failure" to answer.failure)
        }
        return answer
    }

    /** Decodes the body of [answer] as [M]; an undecodable body is a failure whose effect is unknown. */
    inline fun <reified M, R> decode(answer: StoreAnswer, onMessage: (M) -> R, onFailure: (CallFailure) -> R): R {
        val body =
            when (answer) {
                is StoreAnswer.Answered -> answer.body
                is StoreAnswer.Conflict -> answer.body
                is StoreAnswer.Missing -> return onFailure(CallFailure(CallFailureReason.REFUSED, "status 404"))
                is StoreAnswer.Failed -> return onFailure(answer.failure)
            }
        return try {
            onMessage(wireJson.decodeFromString<M>(body))
        } catch (exception: IllegalArgumentException) {
            onFailure(malformed(exception))
        }
    }

    fun malformed(exception: IllegalArgumentException): CallFailure {
        log.write(PlatformLogEvent.MALFORMED_ANSWER, cause = exception)
        return CallFailure(CallFailureReason.ANSWER_LOST, "malformed: ${exception.message?.take(DETAIL_CHARACTERS)}")
    }

    private suspend fun exchange(
        method: HttpMethod,
        path: String,
        query: Map<String, String>,
        body: String?,
        milliseconds: Long,
    ): StoreAnswer = try {
        withTimeout(milliseconds) {
            val request = client.request(method, address.port, address.host, path).timeout(milliseconds)
            query.forEach { (name, value) -> request.addQueryParam(name, value) }
            if (body == null) {
                interpret(request.send().coAwait())
            } else {
                request.putHeader("Content-Type", "application/json")
                interpret(request.sendBuffer(Buffer.buffer(body)).coAwait())
            }
        }
    } catch (exception: TimeoutCancellationException) {
        failed(CallFailureReason.DEADLINE_PASSED, "no answer after $milliseconds ms")
    } catch (exception: CancellationException) {
        throw exception
    } catch (exception: Exception) {
        failed(reasonOf(exception), exception.message ?: exception.javaClass.simpleName)
    }

    private fun interpret(response: HttpResponse<Buffer>): StoreAnswer {
        val text = response.bodyAsString().orEmpty()
        return when (response.statusCode()) {
            OK -> StoreAnswer.Answered(text)
            NOT_FOUND -> StoreAnswer.Missing
            CONDITION_FAILED -> StoreAnswer.Conflict(text)
            // Statuses by which the store says that it did nothing.
            in CLIENT_ERRORS, UNAVAILABLE ->
                failed(CallFailureReason.REFUSED, "status ${response.statusCode()}: ${text.take(DETAIL_CHARACTERS)}")
            else -> failed(CallFailureReason.ANSWER_LOST, "status ${response.statusCode()}")
        }
    }

    private fun failed(reason: CallFailureReason, detail: String) = StoreAnswer.Failed(CallFailure(reason, detail))

    companion object {
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val CONDITION_FAILED = 412
        private const val UNAVAILABLE = 503
        private const val DETAIL_CHARACTERS = 200
        private val CLIENT_ERRORS = 400..499

        /** A failure to connect proves that nothing was sent; a timeout or a closed connection does not. */
        fun reasonOf(exception: Throwable): CallFailureReason = when (exception) {
            is ConnectException, is NoRouteToHostException -> CallFailureReason.NOT_CONNECTED
            is TimeoutException -> CallFailureReason.DEADLINE_PASSED
            else -> CallFailureReason.ANSWER_LOST
        }
    }
}
