package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import java.nio.ByteBuffer

/** Reads and writes length-prefixed blocks of bytes on one socket. */
internal class LengthPrefixedStream(
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val counters: TransportCounters,
) {
    /** Reads the next block, including its length field; counts a refusal and returns null if it is too long. */
    suspend fun read(maximumBytes: Int): ByteArray? {
        val length = input.readInt()
        if (length !in 1..maximumBytes) {
            counters.countRefused(FrameFault.TOO_LONG)
            return null
        }
        val block = ByteArray(FrameCodec.LENGTH_BYTES + length)
        ByteBuffer.wrap(block).putInt(length)
        input.readFully(block, FrameCodec.LENGTH_BYTES, block.size)
        counters.bytesReceived.add(block.size.toLong())
        return block
    }

    suspend fun write(block: ByteArray) {
        output.writeFully(block)
        output.flush()
        counters.bytesSent.add(block.size.toLong())
    }

    fun close(): Unit = socket.close()
}

/**
 * An authenticated connection to another router.
 *
 * @param hello hello message of the other router.
 * @property isDialed whether this router opened the connection.
 * @property isPreferred whether it was opened by the router with the lower id, which wins when both routers open one.
 */
internal class PeerConnection(
    hello: Hello,
    val isDialed: Boolean,
    val isPreferred: Boolean,
    private val stream: LengthPrefixedStream,
    private val codec: FrameCodec,
    private val limits: FrameLimits,
    private val counters: TransportCounters,
) {
    val router: RouterId = hello.router
    val incarnation: Incarnation = hello.incarnation

    /** Completed when the end of this connection has been reported to the handlers. */
    val endReported: CompletableJob = Job()

    /** Sends [messages] in one frame, or in several if they exceed the maximum frame size. */
    suspend fun send(messages: List<PeerMessage>): EncodeResult {
        val result = codec.encode(messages)
        if (result is EncodeResult.Encoded) {
            result.frames.forEach { stream.write(it) }
            counters.framesSent.add(result.frames.size.toLong())
            counters.messagesSent.add(messages.size.toLong())
        }
        return result
    }

    /** Reads the next frame, and counts it if it is refused. */
    suspend fun receive(): FrameResult {
        val block = stream.read(limits.frameBytes) ?: return FrameResult.Refused(FrameFault.TOO_LONG)
        val result = codec.decode(block)
        if (result is FrameResult.Refused) counters.countRefused(result.fault)
        return result
    }

    fun close(): Unit = stream.close()
}
