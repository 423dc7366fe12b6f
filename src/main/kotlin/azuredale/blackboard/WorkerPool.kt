package azuredale.blackboard

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

/**
 * A fixed number of workers, each a coroutine with its own bounded queue.
 *
 * Events with equal keys are handled by the same worker, in the order in which they were queued.
 *
 * @param workers number of workers.
 * @param capacity queue capacity of each worker.
 * @param keyOf returns the key of an event; its hash code selects the worker.
 * @param handle handles an event.
 * @param onFailure called when [handle] throws; the worker then continues with the next event.
 */
public class WorkerPool<E : Any>(
    workers: Int,
    capacity: Int,
    private val keyOf: (E) -> Any,
    private val handle: suspend (E) -> Unit,
    private val onFailure: (E, Exception) -> Unit,
) {
    private val queues = List(workers) { Channel<E>(capacity) }

    /** Starts the workers in [scope]; they run until the scope is cancelled or [close] is called. */
    public fun start(scope: CoroutineScope, dispatcher: CoroutineDispatcher) {
        queues.forEach { queue -> scope.launch(dispatcher) { work(queue) } }
    }

    /** Queues [event] and returns true, or returns false when its worker's queue is full or closed. */
    public fun offer(event: E): Boolean = queueOf(event).trySend(event).isSuccess

    /** Queues [event]; suspends while its worker's queue is full. */
    public suspend fun post(event: E): Unit = queueOf(event).send(event)

    /** Closes the queues; the workers end after handling the events already queued. */
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
