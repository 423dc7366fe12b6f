package azuredale.standin

import azuredale.time.Clock
import azuredale.time.Timestamp
import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A value as the stand-in stores it; a [lease] of 0 is none. */
internal class StoredEntry(
    val value: ByteArray,
    val createRevision: Long,
    val modRevision: Long,
    val lease: Long,
)

/** A change of [key] at [revision]; a null [entry] means that the key was removed. */
internal class KeyChange(
    val key: String,
    val entry: StoredEntry?,
    val revision: Long,
)

/** A value to be stored by a transaction; a [lease] of 0 is none. */
internal class Put(
    val key: String,
    val value: ByteArray,
    val lease: Long,
)

/** Result of a transaction. */
internal sealed interface TransactionResult {
    class Done(val revision: Long) : TransactionResult

    /** A key had another revision; nothing was done. */
    data object Mismatch : TransactionResult

    data object NoLease : TransactionResult
}

/** Keys, revisions, leases, history and watches in memory. */
internal class KeyValueStore(private val clock: Clock) {
    private class Lease(
        val seconds: Long,
        var deadline: Timestamp,
    )

    private val entries = TreeMap<String, StoredEntry>()
    private val history = ArrayDeque<KeyChange>()
    private val leases = HashMap<Long, Lease>()
    private val listeners = ConcurrentHashMap<Long, Pair<String, (KeyChange) -> Unit>>()
    private val numbers = AtomicLong(FIRST_LEASE)

    private var forgottenUpTo = 0L

    /** Revision of the last change. */
    @get:Synchronized
    var revision = 1L
        private set

    @Synchronized
    fun read(key: String): StoredEntry? {
        expire()
        return entries[key]
    }

    /** Keys that begin with [prefix] and come after [after], in order, at most [limit] of them. */
    @Synchronized
    fun list(prefix: String, after: String, limit: Int): List<Pair<String, StoredEntry>> {
        expire()
        return entries
            .tailMap(maxOf(prefix, after))
            .asSequence()
            .filter { it.key > after || after.isEmpty() }
            .takeWhile { it.key.startsWith(prefix) }
            .take(limit)
            .map { it.key to it.value }
            .toList()
    }

    /**
     * Stores [puts] and removes the keys [removed] when each key of [expected] has its revision, 0 for an absent one.
     */
    @Synchronized
    fun transact(expected: Map<String, Long>, puts: List<Put>, removed: List<String>): TransactionResult {
        expire()
        val isExpected = expected.all { (key, wanted) -> (entries[key]?.modRevision ?: 0) == wanted }
        if (!isExpected) return TransactionResult.Mismatch
        if (puts.any { it.lease != 0L && it.lease !in leases }) return TransactionResult.NoLease
        revision++
        puts.forEach { put ->
            val created = entries[put.key]?.createRevision ?: revision
            val entry = StoredEntry(put.value, created, revision, put.lease)
            entries[put.key] = entry
            changed(KeyChange(put.key, entry, revision))
        }
        removed.forEach { if (entries.remove(it) != null) changed(KeyChange(it, null, revision)) }
        return TransactionResult.Done(revision)
    }

    /** Changes of keys that begin with [prefix] after revision [after], or null when some are not known any more. */
    @Synchronized
    fun changes(prefix: String, after: Long): List<KeyChange>? {
        if (after < forgottenUpTo) return null
        return history.filter { it.revision > after && it.key.startsWith(prefix) }
    }

    /** Forgets all changes so far. */
    @Synchronized
    fun compact() {
        history.clear()
        forgottenUpTo = revision
    }

    @Synchronized
    fun grant(seconds: Long): Long {
        val number = numbers.incrementAndGet()
        leases[number] = Lease(seconds, clock().plusSeconds(seconds))
        return number
    }

    /** Extends the lease and returns its length in seconds, or zero when it has ended. */
    @Synchronized
    fun keepAlive(number: Long): Long {
        expire()
        val lease = leases[number] ?: return 0
        lease.deadline = clock().plusSeconds(lease.seconds)
        return lease.seconds
    }

    /** Ends the lease and removes its keys; returns false when it has already ended. */
    @Synchronized
    fun revoke(number: Long): Boolean {
        expire()
        val lease = leases.remove(number)
        if (lease != null) removeKeysOf(number)
        return lease != null
    }

    /** Ends all leases at once. */
    @Synchronized
    fun endLeases() {
        leases.keys.toList().forEach(::revoke)
    }

    /** Removes what ended leases hold. */
    @Synchronized
    fun expire() {
        val now = clock()
        leases.filterValues { it.deadline < now }.keys.forEach { number ->
            leases.remove(number)
            removeKeysOf(number)
        }
    }

    /** Calls [listener] for each later change under [prefix]; returns a number for [unwatch]. */
    @Synchronized
    fun watch(prefix: String, listener: (KeyChange) -> Unit): Long {
        val number = numbers.incrementAndGet()
        listeners[number] = prefix to listener
        return number
    }

    fun unwatch(number: Long) {
        listeners.remove(number)
    }

    private fun removeKeysOf(lease: Long) {
        entries.filterValues { it.lease == lease }.keys.forEach { key ->
            entries.remove(key)
            revision++
            changed(KeyChange(key, null, revision))
        }
    }

    private fun changed(change: KeyChange) {
        history.addLast(change)
        if (history.size > MAXIMUM_HISTORY) forgottenUpTo = history.removeFirst().revision
        listeners.values.filter { change.key.startsWith(it.first) }.forEach { it.second(change) }
    }

    private companion object {
        /** Bounds memory; more changes than a test makes. */
        const val MAXIMUM_HISTORY = 10_000

        /** Above 2^53, so that a client that reads lease numbers as floating point fails. */
        const val FIRST_LEASE = 9_007_199_254_740_993L
    }
}
