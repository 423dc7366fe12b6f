package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import java.util.concurrent.atomic.LongAdder

/**
 * Bounds and periods of the connections between routers; periods are in milliseconds.
 *
 * @property batchMilliseconds how long the first message of a batch waits for others to the same router.
 * @property queueMessages bound on messages that wait for one router.
 * @property handshakeMilliseconds a connection without a complete handshake after this time is closed.
 * @property crossingMilliseconds wait for the other router's connection after it refused this one's.
 * @property writeMilliseconds a frame that cannot be written within this time closes its connection.
 * @property unfinishedHandshakes bound on accepted connections whose handshake is not complete.
 */
public data class TransportOptions(
    val batchMilliseconds: Long = 3,
    val queueMessages: Int = 4_096,
    val handshakeMilliseconds: Long = 2_000,
    val crossingMilliseconds: Long = 200,
    val writeMilliseconds: Long = 5_000,
    val firstBackOffMilliseconds: Long = 50,
    val largestBackOffMilliseconds: Long = 2_000,
    val unfinishedHandshakes: Int = 256,
    val limits: FrameLimits = FrameLimits(),
)

/** What the transport reports; each is called in order for one connection. */
public class TransportHandlers(
    public val message: suspend (RouterId, PeerMessage) -> Unit,
    public val connected: suspend (RouterId, Incarnation) -> Unit = { _, _ -> },
    public val disconnected: suspend (RouterId) -> Unit = {},
)

/** Counts since the transport was created. */
public class TransportCounters {
    public val bytesSent: LongAdder = LongAdder()
    public val bytesReceived: LongAdder = LongAdder()
    public val framesSent: LongAdder = LongAdder()
    public val messagesSent: LongAdder = LongAdder()
    public val messagesDropped: LongAdder = LongAdder()
    public val queueOverflows: LongAdder = LongAdder()
    public val handshakesRefused: LongAdder = LongAdder()
    private val refused = FrameFault.entries.associateWith { LongAdder() }

    /** Frames refused because of [fault]. */
    public fun framesRefused(fault: FrameFault): Long = refused.getValue(fault).sum()

    internal fun refuse(fault: FrameFault) {
        refused.getValue(fault).increment()
        if (fault == FrameFault.HANDSHAKE) handshakesRefused.increment()
    }
}
