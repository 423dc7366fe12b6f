@file:OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)

package azuredale.freshness

import azuredale.gateway.BackendTransport
import azuredale.gateway.FailureHeaders
import azuredale.gateway.FleetBounds
import azuredale.gateway.FleetCoordination
import azuredale.gateway.GatewayDependencies
import azuredale.gateway.GatewayMetrics
import azuredale.gateway.GatewaySettings
import azuredale.gateway.GracefulStop
import azuredale.gateway.RequestAuthorizer
import azuredale.gateway.RequestHead
import azuredale.gateway.Timer
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.outcome.Outcome
import azuredale.platform.EraRegistry
import azuredale.platform.PlatformStoreReader
import azuredale.platform.QuarantineRegistry
import azuredale.platform.RouterRegistry
import azuredale.platform.StoreKey
import azuredale.platform.VersionNoteRegistry
import azuredale.resumption.ResumptionDecision
import azuredale.standin.KeyValueStore
import azuredale.standin.Put
import azuredale.standin.StoreCopy
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlin.random.Random

/**
 * Routers with their real coordination on a virtual clock, whose store may return from an older copy.
 *
 * An operator writes versions of a configuration; version `n` has the keys that its caller names. The operator knows what
 * it has written and writes the newest version again after the store has returned.
 */
internal class RestoredStoreFleet(
    routers: Int,
    seed: Int = 0,
    private val bounds: FleetBounds = FleetBounds(configurationBoundMilliseconds = 2_000),
) {
    /** A revocation: no request with [key] may run after [deadline]. */
    class Revocation(
        val key: String,
        val deadline: Timestamp,
    )

    /** A process of a router. */
    inner class Node(
        val index: Int,
        isFirstStart: Boolean,
    ) {
        private val dispatcher = StandardTestDispatcher(scheduler)
        private val scope = CoroutineScope(dispatcher + Job())
        val store = MemoryStore(storage, ::now) { isAway || isStoreAway }
        private val coordination =
            FleetCoordination(
                settings = settings(index, isFirstStart),
                clock = ::now,
                wallClock = { now.plusMilliseconds(suspendedMilliseconds) },
                dependencies = dependencies(),
                scope = scope,
                metrics = GatewayMetrics(),
                gracefulStop = GracefulStop(bounds),
                log = EventLog("azuredale.test"),
                random = random,
            )
        private val authorizer =
            RequestAuthorizer(
                catalog = { coordination.view.catalog },
                isFresh = coordination::isCatalogFresh,
                isClosed = { false },
                isCurrent = coordination::isCatalogCurrent,
            )
        val view get() = coordination.view
        val resumption get() = coordination.resumption
        val quarantine get() = coordination.quarantine
        val directoryFault get() = coordination.directoryFault(now)
        val isReady get() = coordination.isReady()

        /** Whether the router stands still. */
        var isPaused = false

        /** Whether the router's datagrams are lost. */
        var isCut = false

        /** Side of a partition; datagrams reach routers of the same side only. */
        var side = 0

        /** Whether the store answers no calls of this router. */
        var isStoreAway = false

        /** How long the router's VM has been suspended, by its time of day. */
        var suspendedMilliseconds = 0L

        init {
            scope.launch {
                coordination.start()
                while (true) {
                    if (!isPaused) coordination.tick(lag = 0, now)
                    delay(TICK_MILLISECONDS)
                }
            }
        }

        /** Whether a request with [key] would be sent to a server now. */
        fun serves(key: String): Boolean =
            authorizer.authorize(RequestHead("id", "GET", "/p/", HOST, 1_000, key, null, null, emptyList()), now) is
                Outcome.Success

        /** What the router decides on a stream of [pool] that [request] began. */
        fun resume(request: String, pool: PoolId): ResumptionDecision {
            val decision = scope.async { resumption.decide(request, pool) }
            run(RESUMPTION_MILLISECONDS)
            return decision.getCompleted()
        }

        fun received(from: NetworkAddress, bytes: ByteArray) = coordination.datagramReceived(from, bytes)

        fun end() = scope.cancel()

        private fun dependencies() = GatewayDependencies(
            storeReader = PlatformStoreReader(store, readsEvacuations = bounds.evacuationBoundMilliseconds != null),
            registry = RouterRegistry(store),
            backends = BackendTransport { _, _, _, _, _ -> error("no requests are sent") },
            failureHeaders = FailureHeaders { _, _ -> emptyList() },
            sendDatagram = { to, bytes -> send(this, to, bytes) },
            timer = { at, action -> timer(scope, at, action) },
            quarantineStore = QuarantineRegistry(store),
            versionNotes = VersionNoteRegistry(store),
            eraNotes = EraRegistry(store),
            probe = { _, _ -> },
            onChange = {},
        )
    }

    private val scheduler = TestCoroutineScheduler()
    private val network = CoroutineScope(StandardTestDispatcher(scheduler) + Job())
    val random = Random(seed)
    val now: Timestamp get() = START.plusMilliseconds(scheduler.currentTime)
    val storage = KeyValueStore { now }

    /** Whether the store answers no calls. */
    var isAway = false
    private var written = 0
    private var keysOfNewest = emptyList<String>()
    private val revocations = ArrayList<Revocation>()
    val nodes = MutableList(routers) { Node(it, isFirstStart = true) }
    private val newestSeen = HashMap<Node, Long>()

    /** What broke the bound on revocations, or a rule that no version comes back, since the start. */
    val violations = LinkedHashSet<String>()

    /** The operator writes its next version with [keys]; keys of the version before that are left out are revoked. */
    fun writeVersion(vararg keys: String) {
        check(!isAway) { "the store is away" }
        val revokedBy = now.plusMilliseconds(bounds.revocationBoundMilliseconds)
        keysOfNewest.filter { it !in keys }.forEach { revocations += Revocation(it, revokedBy) }
        written++
        keysOfNewest = keys.toList()
        writeNewest()
    }

    /** The operator writes its newest version again. */
    fun writeNewest() = put(StoreKey.CATALOG, catalog(written, keysOfNewest))

    fun put(key: String, value: String) {
        storage.transact(emptyMap(), listOf(Put(key, value.encodeToByteArray(), lease = 0)), emptyList())
    }

    /** Raises the store's revision by [count] without a change that routers read. */
    fun raiseRevision(count: Int) = repeat(count) { put("unrelated", "") }

    fun copy(): StoreCopy = storage.copy()

    /** Kills the routers [indices] and starts them again, with empty state. */
    fun restart(indices: Iterable<Int>) = indices.forEach {
        nodes[it].end()
        nodes[it] = Node(it, isFirstStart = false)
    }

    /** Lets time pass and checks all routers every 20 ms. */
    fun run(milliseconds: Int) = repeat(milliseconds / TICK_MILLISECONDS.toInt()) {
        scheduler.advanceTimeBy(TICK_MILLISECONDS)
        scheduler.runCurrent()
        nodes.filter { !it.isPaused }.forEach(::check)
    }

    /** Routers that do not serve the newest version's keys. */
    fun behind(): List<Node> = nodes.filter { node ->
        node.view.catalog?.version != written.toLong() || keysOfNewest.any { !node.serves(it) }
    }

    private fun check(node: Node) {
        revocations.filter { now > it.deadline && node.serves(it.key) }.forEach {
            violations += "router ${node.index} serves ${it.key} although it was revoked in time"
        }
        val version = node.view.catalog?.version ?: return
        val newest = newestSeen.merge(node, version, ::maxOf) ?: version
        if (version < newest) violations += "router ${node.index} went from version $newest back to $version"
    }

    private fun send(from: Node, to: NetworkAddress, bytes: ByteArray) {
        network.launch {
            delay(TRANSIT_MILLISECONDS)
            val target = nodes.first { address(it.index) == to }
            val isReachable = !from.isCut && !target.isCut && from.side == target.side
            if (isReachable && !target.isPaused) target.received(address(from.index), bytes)
        }
    }

    private fun timer(scope: CoroutineScope, at: Timestamp, action: () -> Unit): Timer {
        val job =
            scope.launch {
                delay(at.microsecondsSince(now) / Timestamp.MICROSECONDS_PER_MILLISECOND)
                action()
            }
        return Timer { job.cancel() }
    }

    private fun settings(index: Int, isFirstStart: Boolean) = GatewaySettings(
        router = RouterId("router-$index"),
        region = Region("region"),
        failureDomain = FailureDomain("domain-${index % DOMAINS}"),
        callerAddress = address(index),
        readinessAddress = address(index),
        directoryAddress = address(index),
        peerAddress = address(index),
        storeAddress = address(index),
        weight = 1.0,
        bounds = bounds,
        isFirstStart = isFirstStart,
    )

    companion object {
        private const val HOST = "api.example"
        private const val DOMAINS = 3
        private const val TICK_MILLISECONDS = 20L

        /** Covers a question to other routers. */
        private const val RESUMPTION_MILLISECONDS = 200
        private const val TRANSIT_MILLISECONDS = 2L
        private val START = Timestamp.ofMilliseconds(1_000_000)

        private fun address(index: Int) = NetworkAddress("10.0.0.${index + 1}", 7_000)

        private fun catalog(version: Int, keys: List<String>) =
            """{"version":$version,"routes":[{"name":"r","host":"$HOST","path-prefix":"/p/","kind":"idempotent",""" +
                """"service":"s","timeout-ms":1000,"target-latency-ms":500}],"services":[{"name":"s"}],""" +
                """"tenants":[{"name":"t","api-keys":[${keys.joinToString(",") { "\"$it\"" }}]}]}"""
    }
}
