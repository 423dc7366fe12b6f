package azuredale.transport

import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.protocol.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Send queue and current connection for one other router.
 *
 * @param dial opens a connection, or returns null on failure.
 */
internal class PeerLink(
    private val router: RouterId,
    private val options: TransportOptions,
    private val counters: TransportCounters,
    private val dial: suspend (RouterId) -> PeerConnection?,
) {
    private val queue = ArrayDeque<PeerMessage>()
    private val queueSignal = Channel<Unit>(Channel.CONFLATED)
    private val log = RateLimitedLog(EventLog("azuredale.transport"))
    private var connection: PeerConnection? = null
    private var connectedAt = 0L

    private var isDialing = false

    /** Queues [message]. If the queue is full, drops the oldest message and resets the connection. */
    fun enqueue(message: PeerMessage) {
        val overflowed =
            synchronized(this) {
                queue.addLast(message)
                (queue.size > options.maximumQueuedMessages).also { if (it) queue.removeFirst() }
            }
        if (overflowed) {
            counters.queueOverflows.increment()
            counters.messagesDropped.increment()
            log.write(TransportLogEvent.QUEUE_OVERFLOWED, "router" to router)
            current()?.close()
        }
        queueSignal.trySend(Unit)
    }

    /** Returns the current connection, or null if there is none. */
    fun current(): PeerConnection? = synchronized(this) { connection }

    /** Waits briefly for a connection opened by the other router; returns null on timeout. */
    suspend fun awaitCurrent(): PeerConnection? = withTimeoutOrNull(options.simultaneousOpenWaitMilliseconds) {
        while (current() == null) delay(options.batchDelayMilliseconds)
        current()
    }

    /**
     * Makes [opened] the current connection and returns the previous one, which must be closed.
     *
     * If both routers opened a connection at the same time, both ends keep the same one. If that is the existing one,
     * it stays current and [opened] is returned.
     */
    fun attach(opened: PeerConnection): PeerConnection? = synchronized(this) {
        val active = connection
        val isSimultaneousOpen = active != null && active.isDialed != opened.isDialed && isRecentlyOpened()
        if (active != null && isSimultaneousOpen && active.isPreferred) return opened
        connection = opened
        connectedAt = System.nanoTime()
        active
    }

    /** Whether to refuse a connection from the other router because this router's own connection takes precedence. */
    fun refusesIncoming(isOwnPreferred: Boolean): Boolean = synchronized(this) {
        isOwnPreferred && (isDialing || (connection?.isDialed == true && isRecentlyOpened()))
    }

    private fun isRecentlyOpened(): Boolean = System.nanoTime() - connectedAt < SIMULTANEOUS_OPEN_NANOSECONDS

    /** If [closed] is the current connection, clears it, drops all queued messages and returns true. */
    fun detach(closed: PeerConnection): Boolean = synchronized(this) {
        val isCurrent = connection === closed
        if (isCurrent) {
            connection = null
            dropQueue()
        }
        isCurrent
    }

    /** Sends queued messages, and opens connections as needed, until cancelled. */
    suspend fun run() {
        var backOff = options.initialBackOffMilliseconds
        while (true) {
            queueSignal.receive()
            delay(options.batchDelayMilliseconds)
            val active = current() ?: open()
            if (active != null) {
                backOff = options.initialBackOffMilliseconds
                flush(active)
            } else {
                synchronized(this) { dropQueue() }
                // Random jitter prevents routers that lost the same peer from dialing it simultaneously.
                delay(backOff / 2 + Random.nextLong(backOff / 2 + 1))
                backOff = minOf(backOff * 2, options.maximumBackOffMilliseconds)
            }
        }
    }

    private suspend fun open(): PeerConnection? {
        synchronized(this) { isDialing = true }
        try {
            return dial(router) ?: current()
        } finally {
            synchronized(this) { isDialing = false }
        }
    }

    private suspend fun flush(active: PeerConnection) {
        val batch = synchronized(this) { queue.toList().also { queue.clear() } }
        if (batch.isEmpty()) return
        try {
            when (val result = withTimeout(options.writeTimeoutMilliseconds) { active.send(batch) }) {
                is EncodeResult.NamesExhausted -> {
                    log.write(TransportLogEvent.NAMES_EXHAUSTED, "router" to router)
                    active.close()
                }

                is EncodeResult.Encoded ->
                    if (result.oversized > 0) {
                        log.write(TransportLogEvent.MESSAGE_TOO_LARGE, "router" to router, "count" to result.oversized)
                    }
            }
        } catch (_: CancellationException) {
            // A closed socket and a write timeout also cause a CancellationException.
            active.close()
            currentCoroutineContext().ensureActive()
        } catch (_: Exception) {
            active.close()
        }
    }

    private fun dropQueue() {
        counters.messagesDropped.add(queue.size.toLong())
        queue.clear()
    }

    private companion object {
        /** Exceeds the round-trip time between regions, so that both ends detect a simultaneous open. */
        const val SIMULTANEOUS_OPEN_NANOSECONDS = 1_000_000_000L
    }
}
