package azuredale.transport

import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/**
 * Computes the size of messages as sent on established connections, without opening any.
 *
 * Each pair of routers has one name table per direction, so the text of a name is counted only for the first message
 * that contains it. Each size is that of a frame with one message; every further message in the same frame would take
 * [FRAME_OVERHEAD_BYTES] less. TCP and IP headers are not included.
 *
 * ```
 * val sizes = MessageSizes()
 * controlBytes += sizes(RouterId("r-1"), RouterId("r-2"), message)
 * ```
 */
public class MessageSizes(private val limits: FrameLimits = FrameLimits()) : (RouterId, RouterId, PeerMessage) -> Int {
    private val encoders = ConcurrentHashMap<Pair<RouterId, RouterId>, FrameEncoder>()

    /** Returns the size of a frame with [message], sent from [from] to [to]. */
    override fun invoke(from: RouterId, to: RouterId, message: PeerMessage): Int {
        val encoder = encoders.computeIfAbsent(from to to) { newEncoder() }
        return synchronized(encoder) {
            try {
                size(encoder, message)
            } catch (_: FrameException) {
                // A full name table closes the connection, and the next one starts with an empty table.
                size(newEncoder().also { encoders[from to to] = it }, message)
            }
        }
    }

    /** Clears the name table for messages from [from] to [to], as the loss of the connection would. */
    public fun reset(from: RouterId, to: RouterId) {
        encoders.remove(from to to)
    }

    private fun size(encoder: FrameEncoder, message: PeerMessage): Int =
        encoder.encode(listOf(message)).frames.sumOf { it.size }

    private fun newEncoder() = FrameEncoder(MessageAuthenticator(ByteArray(1)), limits)

    public companion object {
        /** Size of an empty frame. */
        public const val FRAME_OVERHEAD_BYTES: Int = 32
    }
}
