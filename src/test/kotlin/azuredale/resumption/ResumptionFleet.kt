package azuredale.resumption

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.gateway.Timer
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.SoftwareVersion
import azuredale.logging.EventLog
import azuredale.peers.Peer
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async

/** Routers on a virtual clock, which exchange origins of streams at once and share notes in one store. */
internal class ResumptionFleet(private val routers: Int) {
    /** Notes in a store that may be away. */
    class FakeNotes : VersionNotes {
        val pools = HashSet<PoolId>()
        var isAway = false
        var calls = 0

        override suspend fun read(deadline: Timestamp): Set<PoolId>? = call { pools.toSet() }

        override suspend fun add(pool: PoolId, deadline: Timestamp): Boolean = call { pools.add(pool) } != null

        override suspend fun remove(pool: PoolId, deadline: Timestamp): Boolean = call { pools.remove(pool) } != null

        private fun <T> call(action: () -> T): T? {
            calls++
            return if (isAway) null else action()
        }
    }

    inner class Node(private val index: Int) {
        private val origins = StreamOrigins()
        private val scope = CoroutineScope(Dispatchers.Unconfined)
        val versions = PoolVersions(ANNOUNCEMENT_MILLISECONDS)
        val exchange =
            OriginExchange(origins, { peersOf(index) }, { to, bytes -> deliver(index, to, bytes) }, ::timer, { now })
        private val keeper = VersionNoteKeeper(versions, notes, { now }, scope, { index }, LOG)
        val resumption = StreamResumption(versions, origins, exchange, keeper, LOG, { now }, { isInStep }, { isInStep })
        var isAlive = true
        var isInStep = true

        /** The stream of [request] begins at [version] through this router. */
        fun begin(request: String, version: String) =
            resumption.recordBegin(request, POOL, SoftwareVersion(version), now)

        fun sees(vararg servers: String) = resumption.directoryChanged(directory(servers.toList()), now)

        /** What this router decides on a stream that [request] began. */
        @OptIn(ExperimentalCoroutinesApi::class)
        fun decide(request: String?): ResumptionDecision {
            val decision = scope.async { resumption.decide(request, POOL) }
            run(milliseconds = 200)
            return decision.getCompleted()
        }
    }

    val notes = FakeNotes()
    var now = Timestamp.ofMilliseconds(1_000_000)
        private set
    private val timers = ArrayList<Pair<Timestamp, () -> Unit>>()
    private val peers = List(routers) { Peer(RouterId("router-$it"), address(it), now).apply { isAlive = true } }
    val nodes = MutableList(routers) { Node(it) }

    /** All routers read a directory with servers of the versions [servers]. */
    fun allSee(vararg servers: String) = nodes.forEach { it.sees(*servers) }

    /** Kills the routers [indices]; the others notice it. */
    fun kill(indices: Iterable<Int>) = indices.forEach {
        nodes[it].isAlive = false
        peers[it].isAlive = false
    }

    /** Starts the routers [indices] again, with empty state. */
    fun start(indices: Iterable<Int>) = indices.forEach {
        nodes[it] = Node(it)
        peers[it].isAlive = true
    }

    /** Lets time pass; routers report to each other. */
    fun run(milliseconds: Int) = repeat(milliseconds / STEP_MILLISECONDS) {
        now = now.plusMilliseconds(STEP_MILLISECONDS.toLong())
        val due = timers.filter { it.first <= now }
        timers -= due.toSet()
        due.forEach { it.second() }
        nodes.filter { it.isAlive }.forEach { it.resumption.tick(now) }
        nodes.filter { it.isAlive }.forEach { sender ->
            val mixed = sender.resumption.mixedPools()
            nodes.filter { it.isAlive && it !== sender }.forEach { it.resumption.reported(mixed, now) }
        }
    }

    private fun timer(at: Timestamp, action: () -> Unit): Timer {
        timers += at to action
        return Timer {}
    }

    private fun peersOf(index: Int) = peers.filterIndexed { other, _ -> other != index }

    private fun deliver(from: Int, to: NetworkAddress, bytes: ByteArray) {
        val target = nodes[to.port]
        if (target.isAlive && nodes[from].isAlive) check(target.exchange.received(address(from), bytes, now))
    }

    companion object {
        val POOL = PoolId("pool")
        const val ANNOUNCEMENT_MILLISECONDS = 2_000L
        private const val STEP_MILLISECONDS = 20
        private val LOG = EventLog("azuredale.test")

        private fun address(index: Int) = NetworkAddress("10.0.0.1", index)

        /** A directory with one server for each of [versions]; a draining one has a minus before its version. */
        private fun directory(versions: List<String>) = ServerDirectory(
            StorePoint.NONE,
            versions
                .mapIndexed { index, version ->
                    BackendEntry(
                        id = ServerId("server-$index-$version"),
                        pool = POOL,
                        address = NetworkAddress("10.1.0.1", index),
                        failureDomain = FailureDomain("domain"),
                        slots = 8,
                        state = if (version.startsWith("-")) BackendState.DRAINING else BackendState.READY,
                        softwareVersion = SoftwareVersion(version.removePrefix("-")),
                    )
                }.associateBy { it.id },
        )
    }
}
