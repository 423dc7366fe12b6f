package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.CallRateLimiter
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.Vertx
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout

/** Result of reading the platform's list of VMs. */
public sealed interface VirtualMachineListResult {
    /**
     * The list as the platform reports it; it lags behind the actual state.
     *
     * An entry without a port has port 0 and stands for every port of that IP address.
     */
    public data class Listed(
        val live: Set<NetworkAddress>,
        val leaving: Set<NetworkAddress>,
    ) : VirtualMachineListResult

    /** The platform returned no usable response. */
    public data class Failed(val failure: CallFailure) : VirtualMachineListResult
}

/**
 * Reads the platform's list of VMs: `GET /vms` answers `{"live": ["10.0.0.1"], "leaving": []}`.
 *
 * ```
 * val result = VirtualMachineListClient(vertx, address, rateLimiter, clock).list(deadline)
 * ```
 */
public class VirtualMachineListClient(
    vertx: Vertx,
    private val address: NetworkAddress,
    private val rateLimiter: CallRateLimiter,
    private val clock: Clock,
) : AutoCloseable {
    private val client = WebClient.create(vertx)

    /** Reads the list; ends at [deadline] at the latest. */
    public suspend fun list(deadline: Timestamp): VirtualMachineListResult {
        if (!rateLimiter.tryAcquire()) return failed(CallFailureReason.BUDGET_EXHAUSTED, "call budget exhausted")
        val remaining = deadline.microsecondsSince(clock()) / Timestamp.MICROSECONDS_PER_MILLISECOND
        return try {
            withTimeout(remaining) {
                val response = client.get(address.port, address.host, "/vms").send().coAwait()
                if (response.statusCode() ==
                    OK
                ) {
                    listed(response.bodyAsJsonObject() ?: JsonObject())
                } else {
                    refused(response.statusCode())
                }
            }
        } catch (exception: TimeoutCancellationException) {
            failed(CallFailureReason.DEADLINE_PASSED, exception.message.orEmpty())
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            log.write(PlatformLogEvent.CALL_FAILED, "path" to "/vms", "address" to address, cause = exception)
            failed(StoreCalls.reasonOf(exception), exception.message.orEmpty())
        }
    }

    override fun close() {
        client.close()
    }

    private fun listed(body: JsonObject) =
        VirtualMachineListResult.Listed(addresses(body.getJsonArray("live")), addresses(body.getJsonArray("leaving")))

    /** One malformed entry fails the whole list: with a partial list, live VMs could be treated as removed. */
    private fun addresses(entries: JsonArray): Set<NetworkAddress> = entries
        .map { entry ->
            val text = entry.toString()
            NetworkAddress.parse(text)
                ?: NetworkAddress.parse("$text:1")?.copy(port = 0)
                ?: throw IllegalArgumentException("VM list entry \"$text\" is not an IP address")
        }.toSet()

    private fun refused(status: Int) = failed(CallFailureReason.REFUSED, "status $status")

    private fun failed(reason: CallFailureReason, detail: String) =
        VirtualMachineListResult.Failed(CallFailure(reason, detail))

    private companion object {
        val log = EventLog("azuredale.platform")
        const val OK = 200
    }
}
