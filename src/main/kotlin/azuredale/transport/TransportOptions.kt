package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import java.util.concurrent.atomic.LongAdder

/**
 * Limits and timeouts (in milliseconds) of the connections between routers.
 *
 * @property batchMilliseconds time for which the first message of a batch waits for more messages to the same router.
 * @property queueMessages maximum number of messages queued for one router.
 * @property handshakeMilliseconds time after which a connection is closed if its handshake is not complete.
 * @property crossingMilliseconds time to wait for the other router's connection after it refused one from this router.
 * @property writeMilliseconds time after which a connection is closed if a batch could not be written.
 * @property firstBackOffMilliseconds delay after the first failed connection attempt; it doubles with every failure.
 * @property largestBackOffMilliseconds maximum delay between connection attempts.
 * @property unfinishedHandshakes maximum number of accepted connections whose handshake is not complete.
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

/** Functions that the transport calls. For one connection, they are called in order. */
public class TransportHandlers(
    public val message: suspend (RouterId, PeerMessage) -> Unit,
    public val connected: suspend (RouterId, Incarnation) -> Unit = { _, _ -> },
    public val disconnected: suspend (RouterId) -> Unit = {},
)

/** Counters since the transport was created. */
public class TransportCounters {
    public val bytesSent: LongAdder = LongAdder()
    public val bytesReceived: LongAdder = LongAdder()
    public val framesSent: LongAdder = LongAdder()
    public val messagesSent: LongAdder = LongAdder()
    public val messagesDropped: LongAdder = LongAdder()
    public val queueOverflows: LongAdder = LongAdder()
    public val handshakesRefused: LongAdder = LongAdder()
    private val refused = FrameFault.entries.associateWith { LongAdder() }

    /** Number of frames refused because of [fault]. */
    public fun framesRefused(fault: FrameFault): Long = refused.getValue(fault).sum()

    internal fun refuse(fault: FrameFault) {
        refused.getValue(fault).increment()
        if (fault == FrameFault.HANDSHAKE) handshakesRefused.increment()
    }
}
