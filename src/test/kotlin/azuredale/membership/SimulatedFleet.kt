package azuredale.membership

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.time.Timestamp
import java.util.PriorityQueue
import kotlin.random.Random

internal const val UDP_HEADER_BYTES = 28

/** A membership controller that runs in virtual time; [isRunning] is false while its process is stopped or paused. */
internal class SimulatedNode(
    val controller: MembershipController,
    val address: NetworkAddress,
    var isRunning: Boolean = true,
    var bytesSent: Long = 0,
) {
    val id: RouterId get() = controller.self.router
    val inbox = ArrayList<Pair<NetworkAddress, ProbeMessage>>()

    fun stateOf(other: RouterId): MemberState? = controller.allKnown().find { it.router == other }?.state

    fun liveRouters(): Set<RouterId> = controller.members().map { it.router }.toSet()
}

/**
 * Simulates membership controllers and a network with delay, loss and partitions.
 *
 * The simulation runs in virtual time and is deterministic for a given seed.
 */
internal class SimulatedFleet(
    seed: Int,
    var lossProbability: Double = 0.0,
) {
    private class Arrival(
        val at: Long,
        val number: Long,
        val from: NetworkAddress,
        val to: NetworkAddress,
        val message: ProbeMessage,
    )

    private val random = Random(seed)
    private val arrivals = PriorityQueue<Arrival>(compareBy({ it.at }, { it.number }))
    private val codec = DatagramCodec(ByteArray(32))
    private var sent = 0L
    private val byAddress = HashMap<NetworkAddress, SimulatedNode>()
    val nodes = ArrayList<SimulatedNode>()
    val events = ArrayList<Pair<MembershipLogEvent, RouterId>>()

    /** Whether datagrams from the first node reach the second one. */
    var isConnected: (SimulatedNode, SimulatedNode) -> Boolean = { _, _ -> true }
    var now = Timestamp(1_700_000_000_000_000)
    var largestDatagram = 0

    fun node(number: Int): SimulatedNode = nodes.last { it.id == idOf(number) }

    fun idOf(number: Int) = RouterId("router-%03d".format(number))

    fun start(number: Int, callbacks: MembershipCallbacks? = null): SimulatedNode {
        val address = addressOf(number)
        val member =
            Member(
                idOf(number),
                Incarnation(now.microseconds),
                MemberState.ALIVE,
                Region("north"),
                FailureDomain("north-${number % 3}"),
                address.copy(port = 7001),
                address,
                address.copy(port = 7002),
            )
        val own = callbacks ?: MembershipCallbacks(onEvent = { event, router, _ -> events += event to router })
        val controller = MembershipController(member, listOf(0, 1, 2).map(::addressOf), Random(random.nextLong()), own)
        nodes.removeIf { it.address == address }
        return SimulatedNode(controller, address).also {
            nodes += it
            byAddress[address] = it
        }
    }

    fun startAll(count: Int, callbacks: (Int) -> MembershipCallbacks? = { null }) {
        repeat(count) { start(it, callbacks(it)) }
    }

    /** Starts [count] nodes that already know each other, so that joins do not use up their byte budgets. */
    fun startJoined(count: Int, callbacks: (Int) -> MembershipCallbacks? = { null }) {
        startAll(count, callbacks)
        val updates = nodes.map { it.controller.self.toUpdate(withProfile = true) }
        nodes.forEachIndexed { position, node ->
            val other = nodes[(position + 1) % count]
            val page = ProbeMessage(ProbeKind.MEMBER_PIECE, other.id, 0, updates = updates)
            node.controller.datagramReceived(other.address, page, now)
        }
        run(3_000)
    }

    /**
     * Advances the virtual time by [milliseconds], or until [until] returns true; returns the milliseconds that passed.
     *
     * @param checkEvery milliseconds between two calls of [until], since conditions on a large fleet are expensive.
     */
    fun run(milliseconds: Long, checkEvery: Long = TICK, until: () -> Boolean = { false }): Long {
        var passed = 0L
        while (passed < milliseconds && !(passed % checkEvery == 0L && until())) {
            now = now.plusMilliseconds(TICK)
            passed += TICK
            while (arrivals.isNotEmpty() && arrivals.peek().at <= now.microseconds) deliver(arrivals.poll())
            nodes.filter { it.isRunning }.shuffled(random).forEach { node ->
                node.inbox.toList().also { node.inbox.clear() }.forEach { (from, message) ->
                    perform(node, node.controller.datagramReceived(from, message, now))
                }
                perform(node, node.controller.tick(now))
            }
        }
        return passed
    }

    fun perform(node: SimulatedNode, effects: List<NodeEffect>) {
        effects.filterIsInstance<NodeEffect.SendDatagram>().forEach { effect ->
            val size = codec.encode(effect.message).size
            largestDatagram = maxOf(largestDatagram, size)
            node.bytesSent += size + UDP_HEADER_BYTES
            if (random.nextDouble() < lossProbability) return@forEach
            val at = now.plusMicroseconds(random.nextLong(500, 2_500)).microseconds
            arrivals += Arrival(at, sent++, node.address, effect.to, effect.message)
        }
    }

    /** Whether the live members known to every running node are exactly the running nodes. */
    fun isConverged(): Boolean {
        val running = nodes.filter { it.isRunning }
        val ids = running.map { it.id }.toSet()
        return running.all { it.controller.members().size == ids.size } && running.all { it.liveRouters() == ids }
    }

    private fun deliver(arrival: Arrival) {
        val from = byAddress[arrival.from] ?: return
        val to = byAddress[arrival.to] ?: return
        // Datagrams for a paused process stay in its socket buffer, which has a limited size.
        if (isConnected(from, to) && to.inbox.size < 500) to.inbox += arrival.from to arrival.message
    }

    private fun addressOf(number: Int) = NetworkAddress("10.0.${number / 250}.${number % 250 + 1}", 7000)

    private companion object {
        const val TICK = 20L
    }
}
