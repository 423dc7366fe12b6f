package azuredale.blackboard

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.util.Collections
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class WorkerPoolSpec {
    @Nested
    inner class Order {
        @Test
        fun `handles events with equal keys in order while workers run in parallel`() {
            // Guards against reordering of events with the same key.
            val handled = Collections.synchronizedList(mutableListOf<Pair<Int, Int>>())
            val events = List(EVENTS) { it % KEYS to it }
            runWorkers({ handled += it }) { pool -> events.forEach { pool.post(it) } }
            (0 until KEYS).forEach { key ->
                assertEquals(events.filter { it.first == key }, handled.filter { it.first == key })
            }
        }
    }

    @Nested
    inner class Failure {
        @Test
        fun `reports a failed event and continues with the next one`() {
            // Guards against one failing event that stops a worker permanently.
            val handled = Collections.synchronizedList(mutableListOf<Int>())
            val failed = Collections.synchronizedList(mutableListOf<Int>())
            runWorkers(
                handle = { event -> check(event.second != 1).also { handled += event.second } },
                onFailure = { failed += it.second },
            ) { pool -> repeat(3) { pool.post(0 to it) } }
            assertEquals(listOf(1), failed.toList())
            assertEquals(listOf(0, 2), handled.toList())
        }

        @Test
        fun `rejects an offered event when the queue is full`() {
            // Guards against a caller that blocks its event loop, and against an unbounded queue.
            val pool = WorkerPool<Int>(workers = 1, capacity = 1, keyOf = { it }, handle = { }, onFailure = { _, _ -> })
            pool.offer(1)
            assertFalse(pool.offer(2))
        }
    }

    private fun runWorkers(
        handle: (Pair<Int, Int>) -> Unit,
        onFailure: (Pair<Int, Int>) -> Unit = { },
        block: suspend (WorkerPool<Pair<Int, Int>>) -> Unit,
    ) {
        val pool =
            WorkerPool(
                workers = 4,
                capacity = EVENTS,
                keyOf = { it: Pair<Int, Int> -> it.first },
                handle = { handle(it) },
                onFailure = { event, _ -> onFailure(event) },
            )
        runBlocking {
            pool.start(this, Dispatchers.Default)
            block(pool)
            pool.close()
        }
    }

    private companion object {
        const val EVENTS = 1_000
        const val KEYS = 7
    }
}
