package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.standin.PlatformStandIn
import azuredale.store.CallRateLimiter
import azuredale.time.Timestamp
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout

/** A platform stand-in on a free port with a client of the key-value service. */
internal class PlatformFixture(
    val vertx: Vertx,
    val standIn: PlatformStandIn,
    val address: NetworkAddress,
) {
    val clock = systemClock()
    val rateLimiter = CallRateLimiter(callsPerSecond = 10_000.0, burst = 10_000, clock)
    val client = StoreClient(vertx, address, rateLimiter, clock)

    fun deadline(milliseconds: Long = 5_000): Timestamp = clock().plusMilliseconds(milliseconds)

    companion object {
        private const val TEST_MILLISECONDS = 60_000L

        fun run(test: suspend PlatformFixture.(CoroutineScope) -> Unit) = runBlocking {
            val vertx = Vertx.vertx()
            try {
                withTimeout(TEST_MILLISECONDS) {
                    val standIn = PlatformStandIn(vertx)
                    val address = NetworkAddress("127.0.0.1", standIn.start())
                    // Loads the HTTP classes in advance: on a busy machine this takes longer than a call's deadline.
                    // The stand-in does not count this request.
                    WebClient
                        .create(vertx)
                        .get(address.port, address.host, "/control")
                        .send()
                        .coAwait()
                    PlatformFixture(vertx, standIn, address).test(this)
                }
            } finally {
                vertx.close().coAwait()
            }
        }
    }
}
