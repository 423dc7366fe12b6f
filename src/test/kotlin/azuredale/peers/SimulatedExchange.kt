package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.engine.ServerLoad
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.gateway.FleetBounds
import azuredale.gateway.GatewaySettings
import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.intake.SpareCapacity
import azuredale.quarantine.Quarantine
import azuredale.quarantine.QuarantineCallbacks
import azuredale.store.StorePoint
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlin.random.Random

/** Exchanges of a whole fleet on a virtual clock and network, which loses datagrams of the routers in [cut]. */
internal class SimulatedExchange private constructor(
    routers: Int,
    domains: Int,
    private val bounds: FleetBounds,
    private val weight: (Int) -> Double,
    private val isRunning: Boolean,
    private val noticeableMilliseconds: Double? = null,
) {
    /** A fleet whose routers know each other and the servers. */
    constructor(routers: Int, domains: Int, weight: (Int) -> Double = ::mixedWeight) :
        this(routers, domains, FleetBounds(), weight, isRunning = true)

    /** The same fleet with [bounds] of its operators. */
    constructor(routers: Int, domains: Int, bounds: FleetBounds) :
        this(routers, domains, bounds, ::mixedWeight, isRunning = true)

    /** The same fleet, whose callers notice waits that change by [noticeableMilliseconds]. */
    constructor(routers: Int, domains: Int, noticeableMilliseconds: Double?) :
        this(routers, domains, FleetBounds(), ::mixedWeight, isRunning = true, noticeableMilliseconds)

    class Node(
        val router: RouterId,
        val address: NetworkAddress,
        val statistics: ServerStatistics,
        val view: StoreView,
        val usage: TeamUsage,
        clock: Clock,
    ) {
        lateinit var exchange: PeerExchange
        lateinit var settings: GatewaySettings
        val quarantine = Quarantine(QuarantineCallbacks(onNews = { exchange.reportSoon(clock()) }))
        var isOverloaded = false
        var spareQuarters = SpareCapacity.ALL

        /** Called when another router reports a newer catalog or a different server directory. */
        var onOutdated: (Boolean, Boolean) -> Unit = { _, _ -> }
        var onDirectoryLearned: (ServerDirectory, Timestamp) -> Unit = { _, _ -> }
        var sent = 0
        var bytes = 0L
    }

    private class Datagram(
        val deliverAt: Timestamp,
        val from: NetworkAddress,
        val to: NetworkAddress,
        val bytes: ByteArray,
    )

    private val network = ArrayDeque<Datagram>()
    private val waiting = ArrayDeque<Pair<Timestamp, Datagram>>()
    private val unread = ArrayList<Datagram>()
    private val byAddress = HashMap<NetworkAddress, Node>()
    val cut = HashSet<Node>()

    /** Milliseconds for which datagrams to a router wait until it reads them. */
    val delayed = HashMap<Node, Long>()

    /** Routers that stand still: they neither read nor send, and datagrams to them wait. */
    val paused = HashSet<Node>()

    /** Whether the network loses the next datagram. */
    var isLost: () -> Boolean = { false }

    /** Whether sent datagrams are kept in [recorded] and malformed ones are accepted silently. */
    var recordsDatagrams = false
    val recorded = ArrayList<ByteArray>()
    var largestDatagram = 0
        private set
    var now = Timestamp.ofMilliseconds(1_000_000)
        private set
    val servers =
        List(SERVERS) { index ->
            BackendEntry(
                id = ServerId("server-$index"),
                pool = PoolId("pool"),
                address = NetworkAddress("10.1.0.$index", 80),
                failureDomain = FailureDomain("domain-0"),
                slots = 24,
                state = BackendState.READY,
            )
        }
    val nodes = List(routers) { create(it, domains) }
    private var step = 0

    init {
        nodes.filter { isRunning }.forEach { node ->
            nodes.forEach { if (it !== node) node.exchange.routerDiscovered(it.router, it.address, now) }
        }
    }

    private fun statistics(index: Int): ServerStatistics = ServerStatistics(
        routers = { nodes[index].exchange.peers.recentFleetSize() },
        random = Random(index)::nextDouble,
        cacheTokens = { 100_000 },
    )

    private fun create(index: Int, domains: Int): Node {
        val address = NetworkAddress("10.0.${index / 200}.${index % 200 + 1}", 7_000)
        val view = StoreView(bounds) { _, _ -> nodes[index].exchange.reportSoon(now) }
        val known = ServerDirectory(StorePoint.NONE, servers.associateBy { it.id })
        if (isRunning) view.adoptDirectory(known, now, outageUntil = null)
        val node = Node(RouterId("router-$index"), address, statistics(index), view, TeamUsage(), { now })
        node.settings =
            GatewaySettings(
                router = node.router,
                region = Region("region"),
                failureDomain = FailureDomain("domain-${index % domains}"),
                callerAddress = address,
                readinessAddress = address,
                directoryAddress = address,
                peerAddress = address,
                storeAddress = address,
                weight = weight(index),
                bounds = bounds,
            )
        node.exchange =
            PeerExchange(
                settings = node.settings,
                incarnation = Incarnation(1_000L + index),
                view = view,
                statistics = node.statistics,
                usage = node.usage,
                quarantine = node.quarantine,
                callbacks =
                    PeerCallbacks(
                        send = { to, bytes ->
                            largestDatagram = maxOf(largestDatagram, bytes.size)
                            node.sent++
                            node.bytes += bytes.size
                            if (recordsDatagrams) recorded += bytes
                            network += Datagram(now.plusMilliseconds(DELAY_MILLISECONDS), node.address, to, bytes)
                        },
                        onPeerChanged = {},
                        onOutdated = { catalog, directory -> node.onOutdated(catalog, directory) },
                        onDirectoryLearned = { directory, at -> node.onDirectoryLearned(directory, at) },
                        onRefused = { from, _ -> check(recordsDatagrams) { "datagram from $from refused" } },
                    ),
                isReady = { true },
                isOverloaded = { node.isOverloaded },
                spareQuarters = { node.spareQuarters },
                noticeableMilliseconds = { noticeableMilliseconds },
            )
        byAddress[address] = node
        return node
    }

    /** Lets [node] go on after a pause. Its timers run first; then it reads what arrived meanwhile. */
    fun resume(node: Node) {
        paused -= node
        node.exchange.tick(now)
        val arrived = unread.filter { it.to == node.address }
        unread -= arrived.toSet()
        arrived.asReversed().forEach { waiting.addFirst(now.plusMilliseconds(READING_MILLISECONDS) to it) }
    }

    /** Runs the fleet for [milliseconds]. */
    fun run(milliseconds: Long) {
        val end = now.plusMilliseconds(milliseconds)
        while (now < end) {
            while (network.isNotEmpty() && network.first().deliverAt <= now) deliver(network.removeFirst())
            while (waiting.isNotEmpty() && waiting.first().first <= now) read(waiting.removeFirst().second)
            // Routers tick at different moments.
            nodes.forEachIndexed { index, node ->
                if ((step + index) % TICK_MILLISECONDS == 0 && node !in cut && node !in paused) {
                    node.quarantine.update(now)
                    node.exchange.tick(now)
                }
            }
            step++
            now = now.plusMilliseconds(1)
        }
    }

    private fun deliver(datagram: Datagram) {
        val target = byAddress.getValue(datagram.to)
        val source = byAddress.getValue(datagram.from)
        if (target in cut || source in cut || isLost()) return
        if (target in paused) {
            unread += datagram
            return
        }
        val readAt = datagram.deliverAt.plusMilliseconds(delayed[target] ?: 0)
        if (now < readAt) waiting += readAt to datagram else read(datagram)
    }

    private fun read(datagram: Datagram) =
        byAddress.getValue(datagram.to).exchange.received(datagram.from, datagram.bytes, now)

    /** Load of server [index] as seen by [node]. */
    fun loadSeenBy(node: Node, index: Int): ServerLoad =
        node.statistics.loads.load(servers[index].id, servers[index].idHash, now)

    companion object {
        /** A fleet whose routers know nothing yet. */
        fun starting(routers: Int, domains: Int) =
            SimulatedExchange(routers, domains, FleetBounds(), ::mixedWeight, isRunning = false)

        private fun mixedWeight(index: Int) = 0.27 + index % 5 * 0.3

        private const val SERVERS = 37
        private const val DELAY_MILLISECONDS = 2L
        private const val TICK_MILLISECONDS = 20
        private const val READING_MILLISECONDS = 20L
    }
}
