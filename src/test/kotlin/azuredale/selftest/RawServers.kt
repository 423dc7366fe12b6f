package azuredale.selftest

import azuredale.gateway.FleetBounds
import azuredale.identity.NetworkAddress
import io.vertx.core.Vertx
import io.vertx.core.net.NetServerOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.util.concurrent.ConcurrentHashMap

/** A router whose two servers are [RawServer]s, which answer "ok" until a test replaces their handlers. */
class RawServers(
    val vertx: Vertx,
    val fixture: GatewayFixture,
    val servers: List<RawServer>,
) {
    private val addresses = ConcurrentHashMap<Int, NetworkAddress>()

    /** Starts the servers and registers them as other processes than the stand-ins of the fixture. */
    suspend fun start() {
        servers.forEachIndexed { index, server ->
            server.handler = { answer(it) }
            addresses[index] = server.start()
            register(index)
        }
        while (servers.any { it.targets.isEmpty() }) send(count = 8)
        delay(SETTLE_MILLISECONDS)
        servers.forEach { it.targets.clear() }
    }

    /**
     * Registers server [index] in [domain] with [state] and software [version]; another [generation] is another process
     * under the same id.
     */
    fun register(
        index: Int,
        state: String = "ready",
        generation: Int = 2,
        domain: String = "domain",
        version: String = "1",
    ) = fixture.register(index, checkNotNull(addresses[index]), state, generation, domain, version)

    /** Answers [request] with "ok" and the header lines [more]. */
    fun answer(request: RawRequest, more: String = ""): String =
        RawServer.response(request.id, "ok", "X-Azuredale-Response-Stamp: s\r\n$more").also { request.socket.write(it) }

    /** Refuses [request] as not run with the header lines [more]. */
    fun refuse(request: RawRequest, more: String): String = (
        "HTTP/1.1 503 Busy\r\nX-Azuredale-Request-Id: ${request.id}\r\nX-Azuredale-Not-Executed: 1\r\n" +
            "${more}Content-Length: 0\r\n\r\n"
    ).also { request.socket.write(it) }

    /** Sends [count] requests at the same time and returns their responses. */
    suspend fun send(
        count: Int,
        path: String = "/plain/x",
        remainingMilliseconds: Long = 2_000,
    ): List<ReceivedResponse> = coroutineScope {
        List(count) { async { fixture.get(path, remainingMilliseconds = remainingMilliseconds) } }.awaitAll()
    }

    private companion object {
        /** Longer than a read of the store and the answers to it. */
        const val SETTLE_MILLISECONDS = 200L
    }
}

/** Runs [test] with a router that has its own event loops, and two raw servers. */
fun withRawServers(
    bounds: FleetBounds = FleetBounds(),
    timeoutMilliseconds: Int = 2_000,
    serverOptions: NetServerOptions = NetServerOptions(),
    test: suspend RawServers.() -> Unit,
) = runBlocking {
    val vertx = Vertx.vertx()
    val routerVertx = Vertx.vertx()
    try {
        withTimeout(40_000) {
            val fixture = GatewayFixture(vertx, routerVertx, bounds)
            fixture.start()
            fixture.writeCatalog(version = 2, keys = listOf(GatewayFixture.KEY), timeoutMilliseconds)
            RawServers(vertx, fixture, List(2) { RawServer(vertx, serverOptions) }).apply { start() }.test()
        }
    } finally {
        routerVertx.close().coAwait()
        vertx.close().coAwait()
    }
}
