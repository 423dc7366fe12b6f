package azuredale.selftest

import azuredale.identity.NetworkAddress
import kotlinx.coroutines.delay
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** Requests whose callers no longer wait when a server could get them. */
class LateRequestSpec {
    /** A server that accepts no connections, and lets those that try wait. */
    private class SilentServer : AutoCloseable {
        private val listener = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
        private val queued = List(2) { Socket(listener.inetAddress, listener.localPort) }
        val address = NetworkAddress("127.0.0.1", listener.localPort)

        override fun close() {
            queued.forEach { it.close() }
            listener.close()
        }
    }

    @Test
    fun `go to no other server if the deadline passes while a connection is opened`() = withRawServers {
        // Guards against a request that is sent to a second server after its deadline.
        SilentServer().use { silent ->
            fixture.register(0, silent.address, generation = 3)
            delay(1_500)
            val refused = send(count = 1, remainingMilliseconds = 100).single()
            delay(600)
            assertEquals(503, refused.status)
            assertEquals(0, servers[1].targets.size, "requests that were sent after their deadline")
        }
    }
}
