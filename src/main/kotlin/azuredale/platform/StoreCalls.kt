package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.CallRateLimiter
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.handler.codec.http.QueryStringEncoder
import io.vertx.core.Future
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
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
    private val client: HttpClient,
    private val address: NetworkAddress,
    private val budget: CallRateLimiter,
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
                !budget.tryAcquire() -> failed(CallFailureReason.BUDGET_EXHAUSTED, "the node's call budget is used up")
                else -> exchange(method, path, query, body, remaining)
            }
        if (answer is StoreAnswer.Failed) {
            val isOverBudget = answer.failure.reason == CallFailureReason.BUDGET_EXHAUSTED
            val event = if (isOverBudget) PlatformLogEvent.BUDGET_EXHAUSTED else PlatformLogEvent.CALL_FAILED
            log.write(event, "path" to path, "failure" to answer.failure)
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
            val uri = QueryStringEncoder(path).apply { query.forEach(::addParam) }.toString()
            val options =
                RequestOptions()
                    .setMethod(method)
                    .setHost(address.host)
                    .setPort(address.port)
                    .setURI(uri)
            val call = OpenCall()
            try {
                val answer = call.send(client, options, body).coAwait()
                interpret(answer.status, answer.text)
            } finally {
                call.abandon()
            }
        }
    } catch (exception: TimeoutCancellationException) {
        failed(CallFailureReason.DEADLINE_PASSED, "no answer after $milliseconds ms")
    } catch (exception: CancellationException) {
        throw exception
    } catch (exception: Exception) {
        failed(reasonOf(exception), exception.message ?: exception.javaClass.simpleName)
    }

    private fun interpret(status: Int, text: String): StoreAnswer = when (status) {
        OK -> StoreAnswer.Answered(text)
        NOT_FOUND -> StoreAnswer.Missing
        CONDITION_FAILED -> StoreAnswer.Conflict(text)
        // Statuses by which the store says that it did nothing.
        in CLIENT_ERRORS, UNAVAILABLE ->
            failed(CallFailureReason.REFUSED, "status $status: ${text.take(DETAIL_CHARACTERS)}")
        else -> failed(CallFailureReason.ANSWER_LOST, "status $status")
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

/** Status and body of an answer. */
private class TextAnswer(
    val status: Int,
    val text: String,
)

/** One exchange with the store, which can be abandoned from another thread at any moment. */
private class OpenCall {
    @Volatile
    private var request: HttpClientRequest? = null

    @Volatile
    private var isAnswered = false

    @Volatile
    private var isAbandoned = false

    /** Everything is composed, not awaited step by step: a body that arrives before its handler is set is lost. */
    fun send(client: HttpClient, options: RequestOptions, body: String?): Future<TextAnswer> =
        client.request(options).compose { opened ->
            request = opened
            if (isAbandoned) opened.reset()
            if (body != null) opened.putHeader("Content-Type", "application/json")
            val sent = if (body == null) opened.send() else opened.send(body)
            sent
                .compose { response -> response.body().map { TextAnswer(response.statusCode(), it.toString()) } }
                .onSuccess { isAnswered = true }
        }

    /** Closes the connection unless the answer is whole, so that a watch that nobody reads ends at the store too. */
    fun abandon() {
        isAbandoned = true
        if (!isAnswered) request?.reset()
    }
}
