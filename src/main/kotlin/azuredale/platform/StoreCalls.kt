package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.CallRateLimiter
import azuredale.store.StoreEra
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.netty.handler.codec.http.QueryStringEncoder
import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.util.concurrent.TimeoutException

/** JSON format of the platform's messages; ignores unknown fields, because later versions may add some. */
internal val platformJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** Result of one call to the store. */
internal sealed interface StoreCallResult {
    /** Era of the store that the response names. */
    val era: StoreEra get() = StoreEra.NONE

    /** Status 200 with the response [body]. */
    class Success(
        val body: Buffer,
        override val era: StoreEra,
    ) : StoreCallResult

    /** Status 404: the key or lease does not exist. */
    class Missing(override val era: StoreEra) : StoreCallResult

    /** Status 412: a precondition failed; [body] has the current items. */
    class Conflict(val body: Buffer) : StoreCallResult

    /** The call failed or its response was unusable. */
    class Failed(val failure: CallFailure) : StoreCallResult
}

/** Sends single calls to the store and classifies failures by whether the call may have taken effect. */
internal class StoreCalls(
    private val client: HttpClient,
    private val address: NetworkAddress,
    private val rateLimiter: CallRateLimiter,
    private val clock: Clock,
    private val decoder: LargeValueDecoder,
) {
    private val log = EventLog("azuredale.platform")
    private var lastEra = StoreEra.NONE

    /**
     * Sends one call. It ends by [deadline]; if no response has arrived by then, the connection is closed.
     *
     * On a router that stands still at the deadline, the call ends soon after the router goes on.
     */
    suspend fun send(
        method: HttpMethod,
        path: String,
        query: Map<String, String>,
        body: String?,
        deadline: Timestamp,
    ): StoreCallResult {
        val remaining = deadline.microsecondsSince(clock()) / Timestamp.MICROSECONDS_PER_MILLISECOND
        val response =
            when {
                remaining <= 0 -> failed(CallFailureReason.DEADLINE_PASSED, "deadline passed before the call was sent")
                !rateLimiter.tryAcquire() -> failed(CallFailureReason.BUDGET_EXHAUSTED, "call budget exhausted")
                else -> exchange(method, path, query, body, remaining)
            }
        if (response is StoreCallResult.Failed) {
            val isRateLimited = response.failure.reason == CallFailureReason.BUDGET_EXHAUSTED
            val event = if (isRateLimited) PlatformLogEvent.BUDGET_EXHAUSTED else PlatformLogEvent.CALL_FAILED
            log.write(event, "path" to path, "failure" to response.failure)
        }
        return response
    }

    /** Decodes the body of [response] as [M]; after a malformed body it is unknown whether the call took effect. */
    suspend inline fun <reified M, R> decode(
        response: StoreCallResult,
        crossinline onMessage: (M) -> R,
        onFailure: (CallFailure) -> R,
    ): R {
        val body =
            when (response) {
                is StoreCallResult.Success -> response.body
                is StoreCallResult.Conflict -> response.body
                is StoreCallResult.Missing -> return onFailure(CallFailure(CallFailureReason.REFUSED, "status 404"))
                is StoreCallResult.Failed -> return onFailure(response.failure)
            }
        return try {
            read(body) { onMessage(platformJson.decodeFromString<M>(it)) }
        } catch (exception: IllegalArgumentException) {
            onFailure(malformed(exception))
        }
    }

    suspend fun <R> read(body: Buffer, onText: (String) -> R): R =
        decoder.decode(body.length()) { onText(body.toString()) }

    fun malformed(exception: IllegalArgumentException): CallFailure {
        log.write(PlatformLogEvent.MALFORMED_ANSWER, cause = exception)
        return CallFailure(CallFailureReason.ANSWER_LOST, "invalid body: ${exception.message?.take(DETAIL_CHARACTERS)}")
    }

    private suspend fun exchange(
        method: HttpMethod,
        path: String,
        query: Map<String, String>,
        body: String?,
        milliseconds: Long,
    ): StoreCallResult = try {
        val uri = QueryStringEncoder(path).apply { query.forEach(::addParam) }.toString()
        val options =
            RequestOptions()
                .setMethod(method)
                .setHost(address.host)
                .setPort(address.port)
                .setURI(uri)
        val call = AbortableCall()
        try {
            val response = await(call.send(client, options, body), milliseconds)
            logEra(response.era)
            interpret(response)
        } finally {
            call.abort()
        }
    } catch (exception: CancellationException) {
        throw exception
    } catch (exception: Exception) {
        failed(reasonOf(exception), exception.message ?: exception.javaClass.simpleName)
    }

    /**
     * Awaits [sent] for [milliseconds].
     *
     * A router that stood still may only now read a response that came in time, so it reads before it gives up.
     */
    private suspend fun await(sent: Future<StoreResponse>, milliseconds: Long): StoreResponse {
        val endsAt = clock().plusMilliseconds(milliseconds)
        withTimeoutOrNull(milliseconds) { sent.coAwait() }?.let { return it }
        val isLate = clock() > endsAt.plusMilliseconds(LATE_MILLISECONDS)
        val response = if (isLate) withTimeoutOrNull(LATE_READ_MILLISECONDS) { sent.coAwait() } else null
        return response ?: throw TimeoutException("no response within $milliseconds ms")
    }

    /** Ignores a response without an era, for example of a proxy, so that a change around it is still seen. */
    private fun logEra(era: StoreEra) {
        if (era == lastEra || era == StoreEra.NONE) return
        if (lastEra != StoreEra.NONE) log.write(PlatformLogEvent.STORE_ERA_CHANGED, "before" to lastEra, "after" to era)
        lastEra = era
    }

    private fun interpret(response: StoreResponse): StoreCallResult = when (response.status) {
        OK -> StoreCallResult.Success(response.body, response.era)
        NOT_FOUND -> StoreCallResult.Missing(response.era)
        CONDITION_FAILED -> StoreCallResult.Conflict(response.body)
        // With these statuses the store reports that the call had no effect.
        in CLIENT_ERRORS, UNAVAILABLE -> {
            val body = response.body.toString().take(DETAIL_CHARACTERS)
            failed(CallFailureReason.REFUSED, "status ${response.status}: $body")
        }
        else -> failed(CallFailureReason.ANSWER_LOST, "status ${response.status}")
    }

    private fun failed(reason: CallFailureReason, detail: String) = StoreCallResult.Failed(CallFailure(reason, detail))

    companion object {
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val CONDITION_FAILED = 412
        private const val UNAVAILABLE = 503
        private const val DETAIL_CHARACTERS = 200
        private val CLIENT_ERRORS = 400..499

        /** Timers of a router that keeps up are never so late. */
        private const val LATE_MILLISECONDS = 50L

        /** Time in which the sockets are read at least once. */
        private const val LATE_READ_MILLISECONDS = 50L

        /** A failed connect proves that nothing was sent; a timeout or a closed connection does not. */
        fun reasonOf(exception: Throwable): CallFailureReason = when (exception) {
            is ConnectException, is NoRouteToHostException -> CallFailureReason.NOT_CONNECTED
            is TimeoutException -> CallFailureReason.DEADLINE_PASSED
            else -> CallFailureReason.ANSWER_LOST
        }
    }
}

private class StoreResponse(
    val status: Int,
    val body: Buffer,
    val era: StoreEra,
)

/** One HTTP exchange with the store, which any thread may abandon at any time. */
private class AbortableCall {
    @Volatile
    private var request: HttpClientRequest? = null

    @Volatile
    private var isComplete = false

    @Volatile
    private var isAborted = false

    /** Composes the futures instead of awaiting each: a body that arrives before its handler is set is lost. */
    fun send(client: HttpClient, options: RequestOptions, body: String?): Future<StoreResponse> =
        client.request(options).compose { opened ->
            request = opened
            if (isAborted) opened.reset()
            if (body != null) opened.putHeader("Content-Type", "application/json")
            val sent = if (body == null) opened.send() else opened.send(body)
            sent
                .compose { response -> readBody(response).map { storeResponse(response, it) } }
                .onSuccess { isComplete = true }
        }

    private fun storeResponse(response: HttpClientResponse, body: Buffer) = StoreResponse(
        status = response.statusCode(),
        body = body,
        era = response.getHeader(PlatformHeader.STORE_ERA)?.toLongOrNull()?.let(::StoreEra) ?: StoreEra.NONE,
    )

    private fun readBody(response: HttpClientResponse): Future<Buffer> {
        val body = Buffer.buffer()
        val end = Promise.promise<Buffer>()
        response.exceptionHandler(end::tryFail)
        response.endHandler { end.tryComplete(body) }
        response.handler { bytes ->
            body.appendBuffer(bytes)
            if (body.length() > MAXIMUM_BODY_BYTES) {
                end.tryFail("body exceeds $MAXIMUM_BODY_BYTES bytes")
                abort()
            }
        }
        return end.future()
    }

    /** Closes the connection unless the response is complete, so that the store also ends a watch without a reader. */
    fun abort() {
        isAborted = true
        if (!isComplete) request?.reset()
    }

    private companion object {
        /** A page of a range holds about 1 MB of values, or one value of 1 MB, as base64 text. */
        const val MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
    }
}
