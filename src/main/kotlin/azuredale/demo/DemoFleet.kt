package azuredale.demo

import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.DocumentWriter
import azuredale.configuration.ModelVersionEntry
import azuredale.configuration.Pool
import azuredale.configuration.PoolKind
import azuredale.configuration.RouterSettings
import azuredale.configuration.Secret
import azuredale.configuration.SubmissionResult
import azuredale.configuration.Team
import azuredale.console.Submission
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.node.RouterDaemon
import azuredale.standin.EngineSettings
import azuredale.standin.EngineStandIn
import azuredale.standin.PlatformStandIn
import azuredale.standin.ServiceStandIn
import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetAddress
import java.net.ServerSocket
import java.util.UUID

/** Three routers and stand-ins for the platform, four engines of unequal speed and a plain service, on loopback. */
internal class DemoFleet(
    private val vertx: Vertx,
    private val engineSettings: List<EngineSettings> = demoEngines,
) {
    private val platform = PlatformStandIn(vertx)
    private val engines = engineSettings.map { EngineStandIn(vertx, it) }
    val service: ServiceStandIn = ServiceStandIn(vertx)
    lateinit var routers: List<RouterDaemon>
        private set

    /** Addresses of the routers for callers. */
    lateinit var callerAddresses: List<NetworkAddress>
        private set

    /** Total number of slots of all engines. */
    val engineSlots: Int = engineSettings.sumOf { it.slots }

    /** Addresses of the engines, once started. */
    val engineAddresses: List<NetworkAddress> get() = engines.map { NetworkAddress(LOOPBACK, it.port) }

    /** Returns the number of requests that are now running on the engines. */
    fun busySlots(): Int = engines.sumOf { it.open.coerceAtMost(SLOTS) }

    /** Starts all components and waits until every router is ready to take work; throws if that takes too long. */
    suspend fun start() {
        val platformPort = platform.start()
        engines.forEach { it.start() }
        service.start()
        val settings = routerSettings(platformPort)
        callerAddresses = settings.map { it.callerAddress }
        routers = settings.map { RouterDaemon(it, vertx) }
        routers.forEach { it.start() }
        val text = DocumentWriter.write(document())
        checkNotNull(withTimeoutOrNull(WAIT_MILLISECONDS) { submitUntilAccepted(text) }) { "no document was accepted" }
        checkNotNull(withTimeoutOrNull(WAIT_MILLISECONDS) { awaitReady() }) { "routers not ready in time" }
    }

    /** Drains every router and returns whether all of them finished within the time limit. */
    suspend fun drain(): Boolean {
        routers.forEach { it.drain() }
        return withTimeoutOrNull(WAIT_MILLISECONDS) { routers.forEach { it.awaitDrained() } } != null
    }

    /** Closes all sockets. */
    suspend fun stop() {
        routers.forEach { it.stop() }
        engines.forEach { it.stop() }
        service.stop()
        platform.stop()
    }

    private suspend fun submitUntilAccepted(text: String) {
        while (true) {
            val submission = Submission(text, Revision.NONE, UUID.randomUUID().toString())
            if (routers.first().submit(submission) is SubmissionResult.Accepted) return
            delay(POLL_MILLISECONDS)
        }
    }

    private suspend fun awaitReady() {
        while (!routers.all { it.isReady() }) delay(POLL_MILLISECONDS)
    }

    private fun document(): Document {
        val version = ModelVersion("small@1")
        val engineServers =
            engines.mapIndexed { index, engine ->
                BackendServer(
                    id = ServerId("engine-${index + 1}"),
                    pool = MODELS,
                    address = NetworkAddress(LOOPBACK, engine.port),
                    failureDomain = domains[index % domains.size],
                    slots = engineSettings[index].slots,
                    batch = BatchId(if (index == 0) "blue" else "green"),
                    modelVersions = setOf(version),
                )
            }
        val lockers =
            BackendServer(
                ServerId("lockers-1"),
                LOCKERS,
                NetworkAddress(LOOPBACK, service.port),
                domains.first(),
                SLOTS,
            )
        return Document(
            failureDomains = domains.associateWith { Region("south") },
            teams = teamShares.mapValues { (id, share) -> Team(id, share, setOf(MODELS, LOCKERS)) },
            pools =
                listOf(Pool(MODELS, PoolKind.MODEL, initialCost = 60.0), Pool(LOCKERS, PoolKind.SERVICE))
                    .associateBy { it.id },
            servers = (engineServers + lockers).associateBy { it.id },
            modelVersions = mapOf(version to ModelVersionEntry(version)),
        )
    }

    private fun routerSettings(platformPort: Int): List<RouterSettings> {
        val probeAddresses = domains.map { freeAddress() }
        return domains.mapIndexed { index, domain ->
            RouterSettings(
                router = RouterId("router-${index + 1}"),
                region = Region("south"),
                failureDomain = domain,
                callerAddress = freeAddress(),
                operatorAddress = freeAddress(),
                peerAddress = freeAddress(),
                probeAddress = probeAddresses[index],
                keyValueServiceAddress = NetworkAddress(LOOPBACK, platformPort),
                fleetKey = fleetKey,
                operatorToken = operatorToken,
                virtualMachineListAddress = NetworkAddress(LOOPBACK, platformPort),
                seeds = probeAddresses - probeAddresses[index],
            )
        }
    }

    /** Returns an address with a port that was free when checked; another process may take it before it is used. */
    private fun freeAddress(): NetworkAddress =
        ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { NetworkAddress(LOOPBACK, it.localPort) }

    companion object {
        const val SLOTS = 4
        val MODELS = PoolId("models")
        val LOCKERS = PoolId("lockers")
        const val MODEL = "small"

        /** Shares of the demo's teams. */
        val teamShares = mapOf(TeamId("outlets") to 3.0, TeamId("counter") to 2.0, TeamId("kiosk") to 1.0)
        private const val LOOPBACK = "127.0.0.1"
        private const val FIRST_TOKEN_MILLISECONDS = 15L
        private const val WAIT_MILLISECONDS = 15_000L
        private const val POLL_MILLISECONDS = 100L
        private val demoEngines =
            listOf(50.0, 80.0, 120.0, 200.0).map { speed ->
                EngineSettings(
                    slots = SLOTS,
                    tokensPerSecond = speed,
                    firstTokenMilliseconds = FIRST_TOKEN_MILLISECONDS,
                )
            }
        private val domains = listOf("south-a", "south-b", "south-c").map(::FailureDomain)
        private val fleetKey = Secret(UUID.randomUUID().toString())
        private val operatorToken = Secret(UUID.randomUUID().toString())
    }
}
