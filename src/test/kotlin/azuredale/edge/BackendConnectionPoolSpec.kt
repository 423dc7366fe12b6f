package azuredale.edge

import azuredale.gateway.SendDecision
import azuredale.identity.NetworkAddress
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BackendConnectionPoolSpec {
    @Test
    fun `a request is not written after its deadline`() = withBackendPool {
        // Guards against a request that waits for its connection and is sent to a server when it is no longer wanted.
        val deadline = clock().plusMilliseconds(100)
        val received =
            exchange(server = "server-0", id = "request-1", stallMilliseconds = 300) {
                if (clock() <
                    deadline
                ) {
                    write("request-1")
                } else {
                    SendDecision.Refuse(Failure(ErrorKind.DEADLINE_BEFORE_START))
                }
            }
        assertEquals(0, server.targets.size)
        assertEquals(1, received.events.size, "${received.events}")
    }

    @Test
    fun `an upload that is given up is not written to its end`() = withBackendPool {
        // Guards against a router that holds, and a server that gets, the rest of an upload that nobody waits for.
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            listener.receiveBufferSize = RECEIVE_BUFFER_BYTES
            val address = NetworkAddress("127.0.0.1", listener.localPort)
            exchange(server = "server-1", id = "request-2", body = Buffer.buffer(ByteArray(UPLOAD_BYTES)), address)
            delay(CANCEL_MILLISECONDS)
            val received = withContext(Dispatchers.IO) { listener.accept().use(::readToEnd) }
            assertTrue(received < UPLOAD_BYTES, "$received bytes")
        }
    }

    /** Number of bytes that arrive on [socket] until its peer ends or resets the connection. */
    private fun readToEnd(socket: Socket): Int {
        val buffer = ByteArray(65_536)
        var total = 0
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) return total
                total += count
            }
        } catch (_: IOException) {
            return total
        }
    }

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 65_536

        /** More than the buffers of a loopback connection take. */
        const val UPLOAD_BYTES = 32 * 1024 * 1024

        /** Longer than the pool takes to close a connection after the attempt was cancelled. */
        const val CANCEL_MILLISECONDS = 300L
    }
}
