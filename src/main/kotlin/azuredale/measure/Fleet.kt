package azuredale.measure

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.Document
import azuredale.configuration.DocumentWriter
import azuredale.configuration.PoolKind
import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.ProbeMessage
import azuredale.protocol.ShardId
import kotlin.random.Random

/** Seed, decision code and message sizes of a run. */
internal class FleetOptions(
    val seed: Long,
    val createCore: CoreFactory,
    val messageSize: MessageSize,
    val datagramSize: DatagramSize,
)

/**
 * Runs several routers with the real decision code on a simulated network, servers, platform and callers.
 *
 * Time is virtual. A scenario or a [Fault] injects faults through the functions of this class and of its fakes.
 */
internal class Fleet(
    val profile: Profile,
    val options: FleetOptions,
    val queue: EventQueue,
    val recorder: RunRecorder,
) : NetworkObserver {
    private val random = Random(options.seed)
    val invariants: InvariantMonitor = InvariantMonitor(queue)
    val platform: FakePlatform = FakePlatform(queue)
    val servers: Map<ServerId, FakeServer> =
        profile.document.servers.values.associate { entry ->
            val kind =
                profile.document.pools
                    .getValue(entry.pool)
                    .kind
            entry.id to FakeServer(entry, profile.servers.getValue(entry.id), kind, queue, recorder)
        }
    private val effects = EffectExecutor(this)
    val hosts: List<RouterHost> =
        List(profile.routers) { index ->
            val skew = random.nextLong(-MAX_SKEW, MAX_SKEW)
            RouterHost(
                index,
                FleetAddresses.settings(profile, index),
                skew,
                queue,
                invariants,
                options.createCore,
                effects::perform,
            )
        }
    private val byRouter = hosts.associateBy { it.settings.router }
    private val byAddress = hosts.associateBy { it.settings.probeAddress }
    val network: FakeNetwork =
        FakeNetwork(
            queue = queue,
            domains =
                hosts.associate { it.name to it.settings.failureDomain } +
                    servers.values.associate { it.entry.id.name to it.entry.failureDomain },
            delayBetweenDomains = profile.delayBetweenDomains,
            random = Random(random.nextLong()),
            messageSize = options.messageSize,
            datagramSize = options.datagramSize,
        ).also { it.observer = this }
    val callers: FakeCallers = FakeCallers(this)

    /** The router that last sent a grant, by shard. */
    val allotters: HashMap<ShardId, RouterId> = HashMap()

    private val withdrawnAt = HashMap<ServerId, Long>()

    /** When new work last reached a server that the newest document withdraws, or null if it never did. */
    var lastWorkOnWithdrawn: Long? = null
        private set

    init {
        recorder.attach(servers.values.toList())
        recorder.onArrival = { server, _ -> checkEligibility(server) }
        store(profile.document)
        hosts.forEach { host -> queue.at(random.nextLong(START_SPREAD)) { host.start(random.nextLong()) } }
        FleetReports(this, Random(random.nextLong())).schedule()
    }

    fun host(router: RouterId): RouterHost = byRouter.getValue(router)

    fun hostAt(address: NetworkAddress): RouterHost? = byAddress[address]

    /** Stores [document] as the next revision at the platform. */
    fun store(document: Document) {
        val revision = Revision((platform.document?.revision?.value ?: 0) + 1)
        servers.values.forEach(recorder::slotsChanging)
        recorder.excluded.clear()
        recorder.excluded +=
            servers.values
                .filter { it.isDead || !FleetAddresses.isActive(document, it.entry.id) }
                .map { it.entry.id }
        platform.store(AcceptedDocument(revision, DocumentWriter.write(document), document))
        servers.keys.forEach { id ->
            if (FleetAddresses.isActive(
                    document,
                    id,
                )
            ) {
                withdrawnAt.remove(id)
            } else {
                withdrawnAt.putIfAbsent(id, queue.now)
            }
        }
    }

    private fun checkEligibility(server: FakeServer) {
        val since = withdrawnAt[server.entry.id] ?: return
        lastWorkOnWithdrawn = queue.now
        val age = queue.now - since
        if (age <= WITHDRAWAL_LIMIT) return
        invariants.report(6, "${server.entry.id} got new work ${age / EventQueue.MILLISECOND} ms after its withdrawal")
    }

    /** Ends the process of [host]; its peers are notified after [detection]. */
    fun crash(host: RouterHost, detection: Long = FakeNetwork.DETECTION_DELAY) {
        if (!host.isUp) return
        invariants.trace { "${host.name} crashes" }
        val calls = host.calls.values.toList()
        host.attempts.values.toList().forEach { attempt ->
            attempt.isOver = true
            queue.after(detection) { attempt.job?.let(attempt.server::cancel) }
        }
        host.stop()
        network.stop(host.settings.router, detection)
        calls.forEach { callers.lost(it, detection) }
    }

    /** Restarts the process on the VM of [host], with empty state. */
    fun restart(host: RouterHost) {
        crash(host, RESTART_DETECTION_DELAY)
        queue.after(RESTART_TIME) {
            network.start(host.settings.router)
            if (!host.isUp) host.start(random.nextLong())
        }
    }

    fun kill(server: FakeServer) {
        recorder.excluded += server.entry.id.also { recorder.slotsChanging(server) }
        server.kill()
    }

    fun revive(server: FakeServer) {
        recorder.slotsChanging(server)
        server.revive()
        platform.document?.let {
            if (FleetAddresses.isActive(it.document, server.entry.id)) {
                recorder.excluded -=
                    server.entry.id
            }
        }
    }

    fun poolKind(server: FakeServer): PoolKind = profile.document.pools
        .getValue(server.entry.pool)
        .kind

    override fun connected(at: RouterId, peer: RouterId): Unit = host(at).accept(NodeEvent.PeerConnected(peer))

    override fun disconnected(at: RouterId, peer: RouterId): Unit = host(at).accept(NodeEvent.PeerDisconnected(peer))

    override fun arrived(at: RouterId, from: RouterId, message: PeerMessage): Unit =
        host(at).accept(NodeEvent.MessageReceived(from, message))

    override fun datagramArrived(at: RouterId, from: RouterId, message: ProbeMessage): Unit =
        host(at).accept(NodeEvent.DatagramReceived(host(from).settings.probeAddress, message))

    /** Sends a message; the sender of a [Grant] is recorded as the allotter of its shard. */
    fun send(from: RouterHost, effect: NodeEffect.SendMessage) {
        val message = effect.message
        if (message is Grant) allotters[message.shard] = from.settings.router
        network.send(from.settings.router, effect.to, message)
    }

    private companion object {
        const val MAX_SKEW = 200 * EventQueue.MILLISECOND
        const val START_SPREAD = 500 * EventQueue.MILLISECOND

        /** Detection time for a restart: unlike a lost VM, a process that ends closes its connections at once. */
        const val RESTART_DETECTION_DELAY = 5 * EventQueue.MILLISECOND

        /** Invariant 6 allows "a few seconds"; the target is 3 s. */
        const val WITHDRAWAL_LIMIT = 5 * EventQueue.SECOND
        const val RESTART_TIME = 800 * EventQueue.MILLISECOND
    }
}
