package azuredale.measure

import azuredale.identity.FailureDomain
import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import azuredale.protocol.ProbeMessage
import azuredale.transport.MessageSizes
import kotlin.random.Random

/** Size in bytes of a frame with one message between two routers. */
public typealias MessageSize = (RouterId, RouterId, PeerMessage) -> Int

/** Size in bytes of a datagram of the failure detector. */
public typealias DatagramSize = (ProbeMessage) -> Int

/** Control traffic of one router. */
internal class Traffic {
    var bytesSent: Long = 0
    var bytesReceived: Long = 0
    var messages: Long = 0
}

/** Receives the connection changes, messages and datagrams of the routers. */
internal interface NetworkObserver {
    fun connected(at: RouterId, peer: RouterId)

    fun disconnected(at: RouterId, peer: RouterId)

    fun arrived(at: RouterId, from: RouterId, message: PeerMessage)

    fun datagramArrived(at: RouterId, from: RouterId, message: ProbeMessage)
}

/**
 * Simulated connections and datagrams between routers, with delays by failure domain, partitions and datagram loss.
 *
 * Endpoints are identified by the names of routers and servers, and by [PLATFORM]. The first message opens a
 * connection, which delivers messages in order, buffers them during a short partition and breaks once the partition
 * has lasted for [DETECTION_DELAY]. It is reopened as soon as both ends can reach each other.
 */
internal class FakeNetwork(
    private val queue: EventQueue,
    private val domains: Map<String, FailureDomain>,
    private val delayBetweenDomains: Long,
    private val random: Random,
    private val messageSize: MessageSize,
    private val datagramSize: DatagramSize,
) {
    private class Direction {
        val pending = ArrayList<PeerMessage>()
        var isFlushing = false
    }

    private class Connection {
        val directions = HashMap<RouterId, Direction>()
        var isOpen = true
    }

    private val connections = HashMap<Set<RouterId>, Connection>()
    private val blocked = HashSet<Set<String>>()
    private val stoppedRouters = HashSet<String>()

    lateinit var observer: NetworkObserver
    var datagramLoss: Double = 0.0
    val traffic: Map<RouterId, Traffic> = domains.keys.associate { RouterId(it) to Traffic() }

    fun isReachable(one: String, other: String): Boolean =
        one !in stoppedRouters && other !in stoppedRouters && (blocked.isEmpty() || setOf(one, other) !in blocked)

    fun delay(one: String, other: String): Long =
        if (domains[one] == domains[other]) DELAY_WITHIN_DOMAIN else delayBetweenDomains

    fun send(from: RouterId, to: RouterId, message: PeerMessage) {
        val key = setOf(from, to)
        val connection = connections[key] ?: open(key) ?: return
        val direction = connection.directions.getOrPut(from) { Direction() }
        direction.pending.add(message)
        scheduleFlush(connection, direction, from, to)
    }

    fun sendDatagram(from: RouterId, to: RouterId, message: ProbeMessage) {
        val size = datagramSize(message)
        traffic.getValue(from).let {
            it.bytesSent += size
            it.messages++
        }
        if (!isReachable(from.name, to.name) || random.nextDouble() < datagramLoss) return
        queue.after(delay(from.name, to.name)) {
            traffic.getValue(to).bytesReceived += size
            observer.datagramArrived(to, from, message)
        }
    }

    /** Blocks all traffic between [one] and [other]; an open connection breaks after [DETECTION_DELAY]. */
    fun cut(one: String, other: String) {
        blocked.add(setOf(one, other))
        queue.after(DETECTION_DELAY) { if (setOf(one, other) in blocked) disconnect(RouterId(one), RouterId(other)) }
    }

    fun heal(one: String, other: String) {
        blocked.remove(setOf(one, other))
    }

    fun healAll(): Unit = blocked.clear()

    /** Disconnects [router] from the network; its peers are notified after [detection]. */
    fun stop(router: RouterId, detection: Long) {
        stoppedRouters.add(router.name)
        connections.keys.filter { router in it }.forEach { key ->
            val peer = key.first { it != router }
            connections.remove(key)?.isOpen = false
            queue.after(detection) { observer.disconnected(peer, router) }
        }
    }

    fun start(router: RouterId) {
        stoppedRouters.remove(router.name)
    }

    private fun open(key: Set<RouterId>): Connection? {
        val (one, other) = key.toList()
        if (!isReachable(one.name, other.name)) return null
        val connection = Connection()
        connections[key] = connection
        queue.after(delay(one.name, other.name)) {
            if (connection.isOpen) {
                observer.connected(one, other)
                observer.connected(other, one)
            }
        }
        return connection
    }

    private fun disconnect(one: RouterId, other: RouterId) {
        val connection = connections.remove(setOf(one, other)) ?: return
        connection.isOpen = false
        observer.disconnected(one, other)
        observer.disconnected(other, one)
        reopenLater(setOf(one, other))
    }

    private fun reopenLater(key: Set<RouterId>): Unit = queue.after(RECONNECT_DELAY) {
        if (key !in connections && open(key) == null) reopenLater(key)
    }

    private fun scheduleFlush(connection: Connection, direction: Direction, from: RouterId, to: RouterId) {
        if (direction.isFlushing) return
        direction.isFlushing = true
        queue.after(BATCH_DELAY) {
            direction.isFlushing = false
            if (connection.isOpen) flush(connection, direction, from, to)
        }
    }

    private fun flush(connection: Connection, direction: Direction, from: RouterId, to: RouterId) {
        if (!isReachable(from.name, to.name)) return scheduleFlush(connection, direction, from, to)
        val messages = direction.pending.toList()
        direction.pending.clear()
        val separate = messages.sumOf { messageSize(from, to, it) }
        val size = separate - (messages.size - 1) * MessageSizes.FRAME_OVERHEAD_BYTES
        traffic.getValue(from).let {
            it.bytesSent += size
            it.messages += messages.size
        }
        queue.after(delay(from.name, to.name)) {
            if (connection.isOpen) {
                traffic.getValue(to).bytesReceived += size
                messages.forEach { observer.arrived(to, from, it) }
            }
        }
    }

    companion object {
        const val PLATFORM: String = "platform"

        /** Time after which a silent connection or the loss of a VM is detected. */
        const val DETECTION_DELAY: Long = 1_000 * EventQueue.MILLISECOND
        private const val RECONNECT_DELAY = 500 * EventQueue.MILLISECOND
        private const val DELAY_WITHIN_DOMAIN = 300L

        /** Time for which messages to one peer are collected into one frame. */
        private const val BATCH_DELAY = 2 * EventQueue.MILLISECOND
    }
}
