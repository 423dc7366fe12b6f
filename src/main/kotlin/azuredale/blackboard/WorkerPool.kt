package azuredale.blackboard

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

/**
 * A fixed number of workers, each a coroutine with a bounded queue.
 *
 * Events with the same key go to the same worker and stay in order.
 *
 * @param capacity events that may wait at one worker.
 * @param keyOf key of an event; only its hash matters.
 * @param handle called by the workers; may throw, in which case [onFailure] is called and the worker goes on.
 */
public class WorkerPool<E : Any>(
    workers: Int,
    capacity: Int,
    private val keyOf: (E) -> Any,
    private val handle: suspend (E) -> Unit,
    private val onFailure: (E, Exception) -> Unit,
) {
    private val queues = List(workers) { Channel<E>(capacity) }

    /** Starts the workers in [scope]; they end when the scope is cancelled or [close] is called. */
    public fun start(scope: CoroutineScope, dispatcher: CoroutineDispatcher) {
        queues.forEach { queue -> scope.launch(dispatcher) { work(queue) } }
    }

    /** Queues [event] and returns true, or returns false when its worker's queue is full or closed. */
    public fun offer(event: E): Boolean = queueOf(event).trySend(event).isSuccess

    /** Queues [event], waiting while its worker's queue is full. */
    public suspend fun post(event: E): Unit = queueOf(event).send(event)

    /** Lets the workers finish what is queued and end. */
    public fun close(): Unit = queues.forEach { it.close() }

    private fun queueOf(event: E): Channel<E> = queues[Math.floorMod(keyOf(event).hashCode(), queues.size)]

    private suspend fun work(queue: Channel<E>) {
        for (event in queue) {
            try {
                handle(event)
            } catch (failure: Exception) {
                onFailure(event, failure)
            }
        }
    }
}
