package azuredale.transport

import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/**
 * Counts the bytes that messages cost on established connections, without sockets.
 *
 * Each pair of routers has its own name table per direction, so a name costs its text once. The size is that of a frame
 * with this message alone; messages that share a frame save [FRAME_OVERHEAD_BYTES] each but one. TCP and IP headers are
 * not counted.
 *
 * ```
 * val sizes = MessageSizes()
 * controlBytes += sizes(RouterId("r-1"), RouterId("r-2"), message)
 * ```
 */
public class MessageSizes(private val limits: FrameLimits = FrameLimits()) : (RouterId, RouterId, PeerMessage) -> Int {
    private val encoders = ConcurrentHashMap<Pair<RouterId, RouterId>, FrameEncoder>()

    /** Bytes of [message] from [from] to [to]. */
    override fun invoke(from: RouterId, to: RouterId, message: PeerMessage): Int {
        val encoder = encoders.computeIfAbsent(from to to) { newEncoder() }
        return synchronized(encoder) {
            try {
                size(encoder, message)
            } catch (_: FrameException) {
                // A full name table ends the connection; the next one starts with an empty table.
                size(newEncoder().also { encoders[from to to] = it }, message)
            }
        }
    }

    /** Forgets the name table from [from] to [to], as when the connection is lost. */
    public fun reset(from: RouterId, to: RouterId) {
        encoders.remove(from to to)
    }

    private fun size(encoder: FrameEncoder, message: PeerMessage): Int =
        encoder.encode(listOf(message)).frames.sumOf { it.size }

    private fun newEncoder() = FrameEncoder(MessageAuthenticator(ByteArray(1)), limits)

    public companion object {
        /** Bytes of an empty frame. */
        public const val FRAME_OVERHEAD_BYTES: Int = 32
    }
}
