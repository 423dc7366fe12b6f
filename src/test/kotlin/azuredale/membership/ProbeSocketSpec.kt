package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.transport.FrameFault
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ProbeSocketSpec {
    private val loopback = NetworkAddress("127.0.0.1", 0)
    private val received = Channel<Pair<NetworkAddress, ProbeMessage>>(Channel.UNLIMITED)
    private val key = ByteArray(32) { 7 }

    private fun socket(name: String, key: ByteArray = this.key) =
        ProbeSocket(RouterId(name), loopback, key) { from, message -> received.send(from to message) }

    @Test
    fun `delivers authentic datagrams with their source address and refuses others`() = runBlocking {
        // Guards against handling a datagram that is signed with another fleet key or carries this router's own id.
        val sockets = listOf(socket("a"), socket("b"), socket("c", ByteArray(32)))
        try {
            val (a, b, c) = sockets.map { it.start() }
            val fromA = ProbeMessage(ProbeKind.PING, RouterId("a"), 5)
            sockets[2].send(b, ProbeMessage(ProbeKind.PING, RouterId("c"), 4))
            sockets[0].send(b, ProbeMessage(ProbeKind.PING, RouterId("b"), 4))
            withTimeout(10_000) {
                while (sockets[1].datagramsRefused(FrameFault.WRONG_CODE) == 0L) delay(5)
                while (sockets[1].datagramsRefused(FrameFault.HANDSHAKE) == 0L) delay(5)
                sockets[0].send(b, fromA)
                assertEquals(a to fromA, received.receive())
            }
            assertNull(received.tryReceive().getOrNull(), "a datagram from $c was delivered")
        } finally {
            sockets.forEach { it.stop() }
        }
    }
}
