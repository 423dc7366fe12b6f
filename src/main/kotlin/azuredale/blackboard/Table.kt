package azuredale.blackboard

import java.util.concurrent.locks.ReentrantLock

/**
 * A bounded in-memory table of the blackboard, the state shared between controllers.
 *
 * Rows may only be accessed inside [locked]. Locking a table while holding one of higher [rank] throws
 * [IllegalStateException], which turns a potential deadlock into a test failure.
 *
 * ```
 * val queue = Table<RequestNumber, QueuedRequest>("local queue", "RequesterController", 4_096, LockRank.LOCAL_QUEUE)
 * val accepted = queue.locked { queue.put(number, request) }
 * ```
 *
 * @param name shown in errors and metrics.
 * @param owner the controller that writes the table.
 * @param maximumRows maximum number of rows.
 * @param rank position in the lock order.
 */
public class Table<K : Any, V : Any>(
    public val name: String,
    public val owner: String,
    public val maximumRows: Int,
    public val rank: LockRank,
) {
    private val lock = ReentrantLock()
    private val rows = LinkedHashMap<K, V>()

    /** Runs [block] while holding this table's lock. */
    public fun <R> locked(block: () -> R): R {
        LockOrder.enter(this.name, rank, alreadyHeld = lock.isHeldByCurrentThread)
        lock.lock()
        try {
            return block()
        } finally {
            lock.unlock()
            LockOrder.leave(rank)
        }
    }

    /** Number of rows. */
    public val size: Int get() = guarded { rows.size }

    /** Whether the table has reached [maximumRows]. */
    public val isFull: Boolean get() = guarded { rows.size >= maximumRows }

    /** Live view of all rows in insertion order; use only inside [locked]. */
    public val entries: Map<K, V> get() = guarded { rows }

    /** The row of [key], or null. */
    public operator fun get(key: K): V? = guarded { rows[key] }

    /** Inserts or replaces a row; returns false when a new row would exceed [maximumRows]. */
    public fun put(key: K, value: V): Boolean = guarded {
        val fits = rows.size < maximumRows || rows.containsKey(key)
        if (fits) rows[key] = value
        fits
    }

    /** Removes and returns the row of [key], or null. */
    public fun remove(key: K): V? = guarded { rows.remove(key) }

    /** Removes all rows that match [predicate]. */
    public fun removeWhere(predicate: (K, V) -> Boolean): Unit =
        guarded { rows.entries.removeIf { predicate(it.key, it.value) } }

    /** Removes all rows. */
    public fun clear(): Unit = guarded { rows.clear() }

    private inline fun <R> guarded(block: () -> R): R {
        check(lock.isHeldByCurrentThread) { "table $name accessed without holding its lock" }
        return block()
    }
}
