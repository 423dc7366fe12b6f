package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.PeerMessage
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertEquals

/** A transport on a free loopback port whose events can be awaited. */
internal class TestRouter(
    name: String,
    addresses: Map<RouterId, NetworkAddress>,
    key: ByteArray = testKey,
    incarnation: Long = 1,
    options: TransportOptions = TransportOptions(handshakeMilliseconds = 300),
) {
    val id = RouterId(name)
    val messages = Channel<PeerMessage>(Channel.UNLIMITED)
    val events = Channel<String>(Channel.UNLIMITED)
    val transport =
        PeerTransport(
            id,
            Incarnation(incarnation),
            NetworkAddress("127.0.0.1", 0),
            key,
            addresses::get,
            TransportHandlers(
                message = { _, message -> messages.send(message) },
                connected = { router, number -> events.send("connected $router $number") },
                disconnected = { router -> events.send("disconnected $router") },
            ),
            options,
        )
}

internal suspend fun <T> Channel<T>.next(): T = withTimeout(10_000) { receive() }

class PeerTransportSpec {
    private val addresses = HashMap<RouterId, NetworkAddress>()
    private val routers = ArrayList<TestRouter>()

    private suspend fun router(name: String): TestRouter {
        val router = TestRouter(name, addresses)
        addresses[router.id] = router.transport.start()
        routers += router
        return router
    }

    @AfterEach
    fun stop(): Unit = routers.forEach { it.transport.stop() }

    @Test
    fun `delivers messages in order and reports the connection at both ends`() = runBlocking {
        val a = router("a")
        val b = router("b")
        val sent = (1L..20L).map { DocumentAnnounce(Revision(it)) }
        sent.forEach { a.transport.send(b.id, it) }
        assertEquals(sent, List(20) { b.messages.next() })
        assertEquals("connected a 1", b.events.next())
        assertEquals("connected b 1", a.events.next())
        b.transport.send(a.id, sent.first())
        assertEquals(sent.first(), a.messages.next())
    }
}
