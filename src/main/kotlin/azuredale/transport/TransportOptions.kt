package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.PeerMessage
import java.util.concurrent.atomic.LongAdder

/**
 * Limits and timeouts (in milliseconds) of the connections between routers.
 *
 * @property batchDelayMilliseconds time for which the first message of a batch waits for more messages to the same
 *   router.
 * @property maximumQueuedMessages maximum number of messages queued for one router.
 * @property handshakeTimeoutMilliseconds time after which a connection is closed if its handshake is not complete.
 * @property simultaneousOpenWaitMilliseconds time to wait for the other router's connection after it refused one from
 *   this router.
 * @property writeTimeoutMilliseconds time after which a connection is closed if a batch could not be written.
 * @property initialBackOffMilliseconds delay after the first failed connection attempt; it doubles with every failure.
 * @property maximumBackOffMilliseconds maximum delay between connection attempts.
 * @property maximumPendingHandshakes maximum number of accepted connections whose handshake is not complete.
 */
public data class TransportOptions(
    val batchDelayMilliseconds: Long = 3,
    val maximumQueuedMessages: Int = 4_096,
    val handshakeTimeoutMilliseconds: Long = 2_000,
    val simultaneousOpenWaitMilliseconds: Long = 200,
    val writeTimeoutMilliseconds: Long = 5_000,
    val initialBackOffMilliseconds: Long = 50,
    val maximumBackOffMilliseconds: Long = 2_000,
    val maximumPendingHandshakes: Int = 256,
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

    internal fun countRefused(fault: FrameFault) {
        refused.getValue(fault).increment()
        if (fault == FrameFault.HANDSHAKE) handshakesRefused.increment()
    }
}
