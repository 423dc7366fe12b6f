package azuredale.selftest

import azuredale.gateway.AddressCaller
import azuredale.gateway.FleetBounds
import azuredale.gateway.GatewayDaemon
import azuredale.gateway.GatewaySettings
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.platform.GatewayProcess
import azuredale.platform.PlatformHeader
import azuredale.platform.StoreKey
import azuredale.standin.BackendStandIn
import azuredale.standin.PlatformStandIn
import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.BindException
import java.net.DatagramSocket
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** A complete response as received by a caller. */
public class ReceivedResponse(
    public val status: Int,
    public val headers: Map<String, String>,
    public val text: String,
)

/**
 * One gateway on the loopback interface, with stand-ins for the platform and the backend servers.
 *
 * The catalog has three routes: `/plain/` (idempotent, up to two servers per request), `/once/` (non-idempotent) and
 * `/stream/` (resumable, up to two servers). All of them accept the API key [KEY] of team `team-a`.
 *
 * @param vertx runs the stand-ins and the caller.
 * @param routerVertx runs the routers; with its own event loops a router can be [stall]ed alone.
 */
public class GatewayFixture(
    private val vertx: Vertx,
    private val routerVertx: Vertx = vertx,
    private val bounds: FleetBounds = FleetBounds(),
) {
    /** Stand-in for the platform with its store. */
    public val platform: PlatformStandIn = PlatformStandIn(vertx)

    /** The two backend servers of the only pool. */
    public val servers: List<BackendStandIn> = List(SERVERS) { BackendStandIn(vertx) }
    private val client = WebClient.create(vertx)
    private val ports = freePorts()
    private var lastId = 0
    private var storeAddress: NetworkAddress? = null
    private var routerContext: Context? = null

    /** The router; null before [start]. */
    internal var daemon: GatewayDaemon? = null

    /** Address to which callers connect. */
    public val callerAddress: NetworkAddress = address(ports[0])

    /** Address at which the router answers the platform and operators. */
    public val readinessAddress: NetworkAddress = address(ports[1])

    /** Address at which the router receives reports of other routers. */
    public val peerAddress: NetworkAddress = address(ports[3])

    /** Starts all components and waits until the router accepts requests. */
    public suspend fun start() {
        val store = address(platform.start())
        storeAddress = store
        servers.forEachIndexed { index, server -> register(index, server.start()) }
        writeCatalog(version = 1, keys = listOf(KEY))
        routerVertx.runOnContext {
            routerContext = Vertx.currentContext()
            daemon = GatewayProcess(settings("router-1", ports, store)).start(routerVertx)
        }
        repeat(START_ATTEMPTS) {
            if (daemon?.gateway?.isReady() == true &&
                runCatching { get("/plain/ready").status }.getOrNull() == OK
            ) {
                return
            }
            delay(START_RETRY_MILLISECONDS)
        }
        error("router not ready after $START_ATTEMPTS checks")
    }

    /** Starts a second router, which exchanges reports with the first one, and waits until they know each other. */
    public suspend fun startPeer() {
        val settings = settings("router-2", freePorts(), checkNotNull(storeAddress) { "start() comes first" })
        routerVertx.runOnContext { GatewayProcess(settings).start(routerVertx) }
        repeat(START_ATTEMPTS) {
            if (daemon
                    ?.gateway
                    ?.addresses(AddressCaller.UNKNOWN)
                    ?.first
                    ?.size == 2
            ) {
                return
            }
            delay(START_RETRY_MILLISECONDS)
        }
        error("second router not found after $START_ATTEMPTS checks")
    }

    /** Blocks the event loop of the router for [milliseconds], as a pause of its VM does. */
    public fun stall(milliseconds: Long) {
        checkNotNull(routerContext) { "start() comes first" }.runOnContext { Thread.sleep(milliseconds) }
    }

    /** Stops the router as the platform's stop signal does, until its process would have ended. */
    public suspend fun stop() {
        val stopped = CompletableDeferred<Unit>()
        checkNotNull(routerContext) { "start() comes first" }.runOnContext {
            CoroutineScope(routerVertx.dispatcher()).launch {
                daemon?.stop()
                stopped.complete(Unit)
            }
        }
        stopped.await()
        routerVertx.close().coAwait()
    }

    private fun settings(router: String, ports: List<Int>, store: NetworkAddress) = GatewaySettings(
        router = RouterId(router),
        region = Region("region"),
        failureDomain = FailureDomain("domain"),
        callerAddress = address(ports[0]),
        readinessAddress = address(ports[1]),
        directoryAddress = address(ports[2]),
        peerAddress = address(ports[3]),
        storeAddress = store,
        weight = 1.0,
        bounds = bounds,
    )

    /** Writes the catalog with [keys] for team-a, and [others] as further teams. */
    public fun writeCatalog(
        version: Int,
        keys: List<String>,
        timeoutMilliseconds: Int = 2_000,
        others: List<String> = emptyList(),
    ) {
        fun team(name: String, keys: List<String>) =
            """{"name":"$name","api-keys":[${keys.joinToString(",") { "\"$it\"" }}],"priority":1}"""

        fun route(name: String, kind: String, servers: Int, more: String) =
            """{"name":"$name","host":"$HOST","path-prefix":"/$name/","kind":"$kind",""" +
                """"timeout-ms":$timeoutMilliseconds,"target-latency-ms":500,"priority":1,"service":"pool-a",""" +
                """"max-attempts":$servers$more}"""
        val teams = listOf(team("team-a", keys)) + others.map { team(it, listOf("key-of-$it")) }
        platform.put(
            StoreKey.CATALOG,
            """{"version":$version,"routes":[${route("plain", "idempotent", 2, "")},""" +
                """${route("once", "non_idempotent", 1, "")},""" +
                """${route("stream", "streaming", 2, ""","sticky-sessions":true,"stream-resume":true""")}],""" +
                """"services":[{"name":"pool-a","max-connections":100,""" +
                """"engine":{"slots":8,"kv-capacity-tokens":100000,"stride":1}}],""" +
                """"tenants":[${teams.joinToString(",")}]}""",
        )
    }

    /**
     * Registers server [index] at [address] in [domain] with [state] and software [version]; [generation] distinguishes
     * its processes.
     */
    public fun register(
        index: Int,
        address: NetworkAddress,
        state: String = "ready",
        generation: Int = 1,
        domain: String = "domain",
        version: String = "1",
    ) {
        platform.put(
            StoreKey.SERVERS + "server-$index",
            """{"service":"pool-a","address":"$address","zone":"$domain","version":"$version","slots":8,""" +
                """"state":"$state","cold-left-ms":0,"sequence":1,"born":$generation}""",
        )
    }

    /** Removes the registration of server [index]. */
    public fun unregister(index: Int): Unit = platform.remove(StoreKey.SERVERS + "server-$index")

    /** Sends one request, with [headers] in addition to or in place of the usual ones, and waits for the response. */
    public suspend fun get(
        path: String,
        key: String? = KEY,
        remainingMilliseconds: Long = 2_000,
        prompt: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): ReceivedResponse {
        val request =
            client
                .request(HttpMethod.GET, callerAddress.port, callerAddress.host, path)
                .putHeader("Host", HOST)
                .putHeader(PlatformHeader.REQUEST_ID, "request-${++lastId}")
                .putHeader(PlatformHeader.REMAINING_MILLISECONDS, remainingMilliseconds.toString())
        if (key != null) request.putHeader(PlatformHeader.AUTHORIZATION, PlatformHeader.KEY_SCHEME + key)
        if (prompt != null) {
            request
                .putHeader(
                    PlatformHeader.TOKEN_COUNT,
                    "$PROMPT_TOKENS,20",
                ).putHeader(PlatformHeader.PROMPT_PARTS, prompt)
        }
        headers.forEach { (name, value) -> request.putHeader(name, value) }
        val response = request.send().coAwait()
        return ReceivedResponse(
            status = response.statusCode(),
            headers = response.headers().entries().associate { it.key.lowercase() to it.value },
            text = response.bodyAsString().orEmpty(),
        )
    }

    /** Sends one request for a stream and returns all bytes that the router sends until it closes the connection. */
    public suspend fun getRaw(path: String): String {
        val socket = vertx.createNetClient().connect(callerAddress.port, callerAddress.host).coAwait()
        val received = Buffer.buffer()
        val closed = CompletableDeferred<Unit>()
        socket.handler { received.appendBuffer(it) }
        socket.closeHandler { closed.complete(Unit) }
        socket.exceptionHandler { closed.complete(Unit) }
        socket.write(rawRequest(path))
        closed.await()
        return received.toString()
    }

    /** The bytes of one request, which has a prompt and ends its connection. */
    public fun rawRequest(path: String): String {
        val lines =
            listOf(
                "GET $path HTTP/1.1",
                "Host: $HOST",
                "Connection: close",
                "${PlatformHeader.REQUEST_ID}: request-${++lastId}",
                "${PlatformHeader.REMAINING_MILLISECONDS}: 2000",
                "${PlatformHeader.AUTHORIZATION}: ${PlatformHeader.KEY_SCHEME}$KEY",
                "${PlatformHeader.TOKEN_COUNT}: $PROMPT_TOKENS,20",
                "${PlatformHeader.PROMPT_PARTS}: a:100,b:100,c:100",
            )
        return lines.joinToString("\r\n", postfix = "\r\n\r\n")
    }

    /** Calls an endpoint for the platform or callers, such as [PlatformPath.READY], at the readiness address. */
    public suspend fun call(path: String): ReceivedResponse {
        val response = client.request(HttpMethod.GET, ports[1], LOOPBACK, path).send().coAwait()
        return ReceivedResponse(response.statusCode(), emptyMap(), response.bodyAsString().orEmpty())
    }

    public companion object {
        /** API key of the only team. */
        public const val KEY: String = "key-a"
        private const val HOST = "api.example"
        private const val LOOPBACK = "127.0.0.1"
        private const val SERVERS = 2
        private const val PORT_COUNT = 4
        private const val FIRST_PORT = 10_000
        private const val PORT_RANGE = 20_000
        private const val PROMPT_TOKENS = 300
        private const val OK = 200
        private const val START_ATTEMPTS = 200
        private const val START_RETRY_MILLISECONDS = 50L

        private val nextPort = AtomicInteger(FIRST_PORT + Random.nextInt(PORT_RANGE))

        /** Ports that are free for TCP and UDP, outside the range from which outgoing connections take theirs. */
        private fun freePorts() = List(PORT_COUNT) {
            generateSequence { FIRST_PORT + nextPort.getAndIncrement() % PORT_RANGE }.first(::isFree)
        }

        private fun isFree(port: Int) = try {
            ServerSocket(port).close()
            DatagramSocket(port).close()
            true
        } catch (_: BindException) {
            false
        }

        private fun address(port: Int) = NetworkAddress(LOOPBACK, port)
    }
}
