package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.store.CallBudget
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.KeyVersion
import azuredale.store.WatchEvent
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.JsonObject
import io.vertx.core.parsetools.JsonParser
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.callbackFlow
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** Watches of the gateway: one streamed answer of concatenated JSON objects for each watch. */
internal class EtcdWatch(
    private val client: HttpClient,
    private val gateway: EtcdGateway,
    private val budget: CallBudget,
) {
    private val log = EventLog("azuredale.platform")

    fun watch(key: String): Flow<WatchEvent> = callbackFlow {
        val stream = Stream(this, gateway.address)
        stream.open(key)
        awaitClose(stream::close)
    }

    private inner class Stream(
        private val reader: ProducerScope<WatchEvent>,
        private val address: NetworkAddress,
    ) {
        private val isEnded = AtomicBoolean()
        private val request = AtomicReference<HttpClientRequest>()

        fun open(key: String) {
            if (!budget.tryTake()) {
                lost(CallFailureReason.BUDGET_EXHAUSTED, IllegalStateException("the call budget is used up"))
                return
            }
            client
                .request(options())
                .compose { opened ->
                    request.set(opened)
                    opened.send(EtcdMessages.watch(key).toBuffer())
                }.onSuccess(::receive)
                .onFailure { lost(EtcdGateway.reasonOf(it), it) }
        }

        fun close() {
            isEnded.set(true)
            request.get()?.reset()
        }

        private fun options() = RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(address.host)
            .setPort(address.port)
            .setURI("/v3/watch")
            .putHeader("content-type", "application/json")

        private fun receive(response: HttpClientResponse) {
            if (isEnded.get()) request.get()?.reset()
            if (response.statusCode() != OK) {
                lost(CallFailureReason.REFUSED, IllegalStateException("status ${response.statusCode()}"))
                return
            }
            val parser = JsonParser.newParser(response).objectValueMode()
            parser.exceptionHandler { lost(CallFailureReason.ANSWER_LOST, it) }
            parser.endHandler { lost(CallFailureReason.ANSWER_LOST, IllegalStateException("the stream ended")) }
            parser.handler { event ->
                try {
                    report(event.objectValue())
                } catch (exception: RuntimeException) {
                    lost(CallFailureReason.ANSWER_LOST, exception)
                }
            }
        }

        private fun report(message: JsonObject) {
            val result = message.getJsonObject("result") ?: error("the gateway reports ${message.getValue("error")}")
            check(!result.getBoolean("canceled", false)) { "the service cancelled the watch" }
            if (result.getBoolean("created", false)) deliver(WatchEvent.Started)
            result.getJsonArray("events")?.forEach { deliver(eventOf(it as JsonObject)) }
        }

        private fun eventOf(event: JsonObject): WatchEvent {
            val pair = event.getJsonObject("kv")
            val isRemoved = event.getString("type") == "DELETE"
            return if (isRemoved) {
                WatchEvent.Removed(KeyVersion(EtcdMessages.long(pair, "mod_revision")))
            } else {
                WatchEvent.Changed(EtcdMessages.stored(pair))
            }
        }

        /** A reader that falls behind by the buffer of the flow loses the watch, so memory stays bounded. */
        private fun deliver(event: WatchEvent) =
            check(reader.trySend(event).isSuccess) { "the reader of the watch is too slow" }

        private fun lost(reason: CallFailureReason, cause: Throwable) {
            if (!isEnded.compareAndSet(false, true)) return
            log.write(PlatformLogEvent.WATCH_BROKEN, "address" to address, "reason" to reason, cause = cause)
            gateway.useNextAddress()
            reader.trySend(WatchEvent.Broken(CallFailure(reason, cause.message ?: cause.javaClass.simpleName)))
            reader.close()
        }
    }

    private companion object {
        const val OK = 200
    }
}
