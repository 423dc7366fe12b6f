package azuredale.selftest

import azuredale.catalog.CatalogMark
import azuredale.gateway.AddressCaller
import azuredale.identity.NetworkAddress
import azuredale.peers.CatalogMarkEntry
import azuredale.peers.CatalogProofEntry
import azuredale.peers.LoadEntry
import azuredale.peers.PeerCodec
import azuredale.peers.PeerDatagram
import azuredale.peers.PeerReport
import azuredale.peers.ProofEntry
import azuredale.peers.RouterState
import azuredale.peers.UsageEntry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import kotlin.test.assertTrue

/** Reports between routers that are larger than a network packet, as those of a relay in a large fleet are. */
class LargeReportSpec {
    private val codec = PeerCodec()
    private val relayAddress = NetworkAddress("127.0.0.1", 9)

    private fun datagram(rows: Int, sentAt: Long): ByteArray {
        val report =
            PeerReport(
                sender = RouterState("relay", 1, "domain", relayAddress.host, relayAddress.port, 1.0, isReady = true),
                catalog = CatalogProofEntry(CatalogMarkEntry.of(CatalogMark.NONE), -1),
                directory = ProofEntry(0, -1),
                loads = List(rows) { LoadEntry(it, 1_000, 1) },
                reads = emptyList(),
                routers = emptyList(),
                usage = List(rows) { UsageEntry(it, 1_000_000, 100_000) },
            )
        return codec.encode(PeerDatagram(PeerCodec.VERSION, sentAt, 0, 0, 0, codec.encodeReport(report)))
    }

    @Nested
    inner class Reception {
        @ParameterizedTest
        @ValueSource(ints = [10, 60, 120, 240])
        fun `a report with many rows reaches the router whole`(rows: Int) {
            // Guards against reports of relays that are cut short on reception, so that no router knows the fleet.
            runBlocking {
                val vertx = Vertx.vertx()
                try {
                    withTimeout(20_000) {
                        val fixture = GatewayFixture(vertx)
                        fixture.start()
                        assertTrue(isHeard(fixture, rows), "a report of ${datagram(rows, 1).size} bytes is not heard")
                    }
                } finally {
                    vertx.close().coAwait()
                }
            }
        }
    }

    /** Sends reports of a peer with [rows] rows until the router names the peer to callers. */
    private suspend fun isHeard(fixture: GatewayFixture, rows: Int): Boolean = DatagramSocket().use { socket ->
        repeat(20) { index ->
            val bytes = datagram(rows, sentAt = index + 1L)
            val host = InetAddress.getByName(fixture.peerAddress.host)
            socket.send(DatagramPacket(bytes, bytes.size, host, fixture.peerAddress.port))
            delay(100)
            val named = fixture.daemon?.gateway?.addresses(AddressCaller.UNKNOWN)
            if (named != null && relayAddress in named.first) return true
        }
        false
    }
}
