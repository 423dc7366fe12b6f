package azuredale.edge

import azuredale.identity.NetworkAddress
import azuredale.selftest.RawServer.Companion.response
import io.vertx.core.buffer.Buffer
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.assertEquals

/** How the end of a response is told from a connection that breaks within it. */
class ResponseEndSpec {
    /** Ways in which a server ends its connection after [parts] of a response. */
    enum class Ending(
        val parts: String,
        val isUploadRead: Boolean,
        val isReset: Boolean,
        val isComplete: Boolean,
        val pauseMilliseconds: Long = PAUSE_MILLISECONDS,
    ) {
        RESET_WHILE_THE_REQUEST_IS_WRITTEN(WITHOUT_LENGTH, isUploadRead = false, isReset = true, isComplete = false),
        RESET_AT_ONCE(WITHOUT_LENGTH, isUploadRead = false, isReset = true, isComplete = false, pauseMilliseconds = 0),
        RESET_WITHIN_A_CHUNK(CUT_CHUNK, isUploadRead = false, isReset = true, isComplete = false),
        RESET_AFTER_THE_REQUEST(WITHOUT_LENGTH, isUploadRead = true, isReset = true, isComplete = false),
        CLOSE_WHILE_THE_REQUEST_IS_WRITTEN(WITHOUT_LENGTH, isUploadRead = false, isReset = false, isComplete = false),
        CLOSE_AFTER_THE_REQUEST(WITHOUT_LENGTH, isUploadRead = true, isReset = false, isComplete = true),
        RESET_AFTER_A_WHOLE_RESPONSE(WHOLE, isUploadRead = false, isReset = true, isComplete = true),
        RESET_WITHIN_THE_LENGTH(CUT, isUploadRead = true, isReset = true, isComplete = false),
        CLOSE_WITHIN_THE_LENGTH(CUT, isUploadRead = true, isReset = false, isComplete = false),
        CLOSE_WITHIN_A_CHUNK(CUT_CHUNK, isUploadRead = true, isReset = false, isComplete = false),
    }

    @ParameterizedTest
    @EnumSource(Ending::class)
    fun `a response is complete only if its end was received`(ending: Ending) = withBackendPool {
        // Guards against a response that its server reset halfway and that reaches the caller as a whole one.
        ServerSocket().use { listener ->
            // The rest of the upload waits in the router.
            listener.receiveBufferSize = RECEIVE_BUFFER_BYTES
            listener.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            thread(
                isDaemon = true,
            ) { while (!listener.isClosed) runCatching { listener.accept().use { it.answer(ending) } } }
            val received =
                exchange(
                    server = "server-0",
                    id = "1",
                    body = Buffer.buffer(ByteArray(UPLOAD_BYTES)),
                    address = NetworkAddress("127.0.0.1", listener.localPort),
                )
            assertEquals(ending.isComplete, received.isComplete, "$ending: ${received.failure}")
        }
    }

    private fun Socket.answer(ending: Ending) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(getInputStream().read().toChar())
        if (ending.isUploadRead) getInputStream().readNBytes(UPLOAD_BYTES)
        getOutputStream().write(ending.parts.toByteArray())
        Thread.sleep(ending.pauseMilliseconds)
        if (ending.isReset) {
            setSoLinger(true, 0)
        } else {
            shutdownOutput()
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    private companion object {
        const val UPLOAD_BYTES = 8_000_000
        const val RECEIVE_BUFFER_BYTES = 16_384

        /** Longer than the router takes to read what was sent. */
        const val PAUSE_MILLISECONDS = 100L

        val WHOLE = response("1", "body")
        val CUT = WHOLE.dropLast(1)
        val CUT_CHUNK = response("1", "body", isChunked = true).substringBeforeLast("dy")
        val WITHOUT_LENGTH = WHOLE.replace("Content-Length: 4\r\n", "")
    }
}
