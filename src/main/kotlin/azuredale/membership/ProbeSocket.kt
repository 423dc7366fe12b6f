package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.protocol.ProbeMessage
import azuredale.transport.FrameFault
import azuredale.transport.RateLimitedLog
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import java.util.concurrent.atomic.LongAdder

/**
 * UDP socket of the failure detector.
 *
 * ```
 * val socket = ProbeSocket(settings.router, settings.probeAddress, key) { from, message -> ... }
 * socket.start()
 * socket.send(address, message)
 * ```
 *
 * @param self id of this router. Datagrams sent under this id are refused: they were looped back or come from a second
 *   process with the same id.
 * @param receive called for each valid datagram, in order of arrival.
 */
public class ProbeSocket(
    private val self: RouterId,
    private val address: NetworkAddress,
    fleetKey: ByteArray,
    private val receive: suspend (NetworkAddress, ProbeMessage) -> Unit,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val encoder = DatagramCodec(fleetKey)
    private val decoder = DatagramCodec(fleetKey)
    private val log = RateLimitedLog(EventLog("azuredale.membership"))
    private val refused = FrameFault.entries.associateWith { LongAdder() }
    private val outgoing =
        Channel<Pair<NetworkAddress, ProbeMessage>>(MAXIMUM_QUEUED_DATAGRAMS, BufferOverflow.DROP_OLDEST)

    /** Bytes sent, without IP and UDP headers. */
    public val bytesSent: LongAdder = LongAdder()

    /** Bytes received, including refused datagrams, without IP and UDP headers. */
    public val bytesReceived: LongAdder = LongAdder()

    /** Number of datagrams refused because of [fault]. */
    public fun datagramsRefused(fault: FrameFault): Long = refused.getValue(fault).sum()

    /** Opens the socket and returns the bound address, with the assigned port if port 0 was requested. */
    public suspend fun start(): NetworkAddress {
        val socket = aSocket(selector).udp().bind(InetSocketAddress(address.host, address.port))
        val bound = NetworkAddress(address.host, (socket.localAddress as InetSocketAddress).port)
        log.write(MembershipLogEvent.PROBE_LISTENING, "address" to bound)
        scope.launch { receiveAll(socket) }
        scope.launch { sendAll(socket) }
        return bound
    }

    /** Queues [message] for sending; if the queue is full, the oldest queued datagram is dropped. */
    public fun send(to: NetworkAddress, message: ProbeMessage) {
        outgoing.trySend(to to message)
    }

    /** Stops sending and receiving, and closes the socket. */
    public fun stop() {
        scope.cancel()
        selector.close()
    }

    private suspend fun sendAll(socket: BoundDatagramSocket) {
        for ((to, message) in outgoing) {
            try {
                val bytes = encoder.encode(message)
                val content = Buffer().apply { write(bytes) }
                socket.send(Datagram(content, InetSocketAddress(to.host, to.port)))
                bytesSent.add(bytes.size.toLong())
            } catch (fault: Exception) {
                if (!scope.isActive) break
                log.write(MembershipLogEvent.SEND_FAILED, "to" to to, cause = fault)
            }
        }
    }

    private suspend fun receiveAll(socket: BoundDatagramSocket) {
        while (scope.isActive) {
            try {
                handle(socket.receive())
            } catch (fault: Exception) {
                if (!scope.isActive) break
                log.write(MembershipLogEvent.DATAGRAM_REFUSED, cause = fault)
                kotlinx.coroutines.delay(RETRY_DELAY_MILLISECONDS)
            }
        }
        socket.close()
    }

    private suspend fun handle(datagram: Datagram) {
        val source = datagram.address as? InetSocketAddress ?: return
        val bytes = datagram.packet.readByteArray()
        bytesReceived.add(bytes.size.toLong())
        val from = NetworkAddress(source.resolveAddress()?.let(::hostOf) ?: source.hostname, source.port)
        when (val result = decoder.decode(bytes)) {
            is DatagramResult.Refused -> refuse(from, result.fault)

            is DatagramResult.Decoded ->
                if (result.message.sender == self) refuse(from, FrameFault.HANDSHAKE) else receive(from, result.message)
        }
    }

    private fun refuse(from: NetworkAddress, fault: FrameFault) {
        refused.getValue(fault).increment()
        log.write(MembershipLogEvent.DATAGRAM_REFUSED, "from" to from, "fault" to fault)
    }

    private fun hostOf(bytes: ByteArray): String = bytes.joinToString(".") { (it.toInt() and OCTET_MASK).toString() }

    private companion object {
        const val MAXIMUM_QUEUED_DATAGRAMS = 1_024
        const val OCTET_MASK = 0xFF
        const val RETRY_DELAY_MILLISECONDS = 20L
    }
}
