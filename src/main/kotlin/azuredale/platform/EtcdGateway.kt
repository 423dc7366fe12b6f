package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.store.CallBudget
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicInteger

/** Answer of one call to the gateway. */
internal sealed interface GatewayAnswer<out T> {
    data class Answered<out T>(val value: T) : GatewayAnswer<T>

    data class Failed(val failure: CallFailure) : GatewayAnswer<Nothing>
}

/** Sends calls to one of several gateway addresses and sorts failures by whether the call can have had an effect. */
internal class EtcdGateway(
    private val client: WebClient,
    private val addresses: List<NetworkAddress>,
    private val budget: CallBudget,
    private val clock: Clock,
) {
    private val log = EventLog("azuredale.platform")
    private val preferred = AtomicInteger()

    init {
        require(addresses.isNotEmpty()) { "the key-value service needs at least one address" }
    }

    /** The address that answered last. */
    val address: NetworkAddress get() = addresses[Math.floorMod(preferred.get(), addresses.size)]

    /** Makes the next address the preferred one. */
    fun useNextAddress() {
        preferred.incrementAndGet()
    }

    /**
     * Posts [body] to [path] and converts the answer with [read].
     *
     * @param isRepeatable whether the call may be sent to another address after it may have had an effect.
     */
    suspend fun <T> call(
        path: String,
        body: JsonObject,
        deadline: Timestamp,
        isRepeatable: Boolean,
        read: (JsonObject) -> T,
    ): GatewayAnswer<T> {
        var last = CallFailure(CallFailureReason.DEADLINE_PASSED, "no time left for $path")
        for (attempt in addresses.indices) {
            val remaining = deadline.microsecondsSince(clock()) / Timestamp.MICROSECONDS_PER_MILLISECOND
            if (remaining <= 0) break
            // A repeatable call leaves time for the other addresses; another one is sent once and may use all of it.
            val share = if (isRepeatable) remaining / (addresses.size - attempt) else remaining
            val answer = counted(path) { post(path, body, share.coerceAtLeast(1), read) }
            last = (answer as? GatewayAnswer.Failed)?.failure ?: return answer
            if (!mayTryNext(last.reason, isRepeatable)) break
            useNextAddress()
        }
        return GatewayAnswer.Failed(last)
    }

    private fun mayTryNext(reason: CallFailureReason, isRepeatable: Boolean): Boolean =
        reason == CallFailureReason.NOT_CONNECTED || (isRepeatable && !reason.isWithoutEffect)

    private suspend fun <T> counted(path: String, call: suspend () -> GatewayAnswer<T>): GatewayAnswer<T> {
        if (!budget.tryTake()) {
            log.write(PlatformLogEvent.BUDGET_EXHAUSTED, "path" to path, "refused" to budget.refused)
            val detail = "the call budget of this node is used up"
            return GatewayAnswer.Failed(CallFailure(CallFailureReason.BUDGET_EXHAUSTED, detail))
        }
        val answer = call()
        if (answer is GatewayAnswer.Failed) {
            log.write(PlatformLogEvent.CALL_FAILED, "path" to path, "address" to address, "failure" to answer.failure)
        }
        return answer
    }

    private suspend fun <T> post(
        path: String,
        body: JsonObject,
        milliseconds: Long,
        read: (JsonObject) -> T,
    ): GatewayAnswer<T> {
        val target = address
        return try {
            withTimeout(milliseconds) {
                val request = client.post(target.port, target.host, path).timeout(milliseconds)
                interpret(path, request.sendJsonObject(body).coAwait(), read)
            }
        } catch (exception: TimeoutCancellationException) {
            failed(CallFailureReason.DEADLINE_PASSED, exception)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            failed(reasonOf(exception), exception)
        }
    }

    private fun <T> interpret(path: String, response: HttpResponse<Buffer>, read: (JsonObject) -> T): GatewayAnswer<T> {
        val status = response.statusCode()
        if (status == OK) {
            return try {
                GatewayAnswer.Answered(read(JsonObject(response.bodyAsBuffer() ?: Buffer.buffer("{}"))))
            } catch (exception: RuntimeException) {
                log.write(PlatformLogEvent.MALFORMED_ANSWER, "path" to path, cause = exception)
                failed(CallFailureReason.ANSWER_LOST, exception)
            }
        }
        val text = response.bodyAsString().orEmpty().take(DETAIL_CHARACTERS)
        val reason =
            when {
                status in CLIENT_ERRORS && "lease not found" in text -> CallFailureReason.LEASE_ENDED
                status in CLIENT_ERRORS && status != REQUEST_TIMEOUT -> CallFailureReason.REFUSED
                else -> CallFailureReason.ANSWER_LOST
            }
        return GatewayAnswer.Failed(CallFailure(reason, "status $status: $text"))
    }

    private fun failed(reason: CallFailureReason, cause: Exception): GatewayAnswer.Failed =
        GatewayAnswer.Failed(CallFailure(reason, cause.message ?: cause.javaClass.simpleName))

    companion object {
        private const val OK = 200
        private const val REQUEST_TIMEOUT = 408
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
