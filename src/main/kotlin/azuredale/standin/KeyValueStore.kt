package azuredale.standin

import azuredale.time.Clock
import azuredale.time.Timestamp
import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A stored value; a [lease] of 0 means none. */
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

/** A write in a transaction; a [lease] of 0 means none. */
internal class Put(
    val key: String,
    val value: ByteArray,
    val lease: Long,
)

/** Result of a transaction. */
internal sealed interface TransactionResult {
    class Committed(val revision: Long) : TransactionResult

    /** A key did not have the expected revision; nothing was changed. */
    data object RevisionMismatch : TransactionResult

    data object LeaseNotFound : TransactionResult
}

/** Contents of a [KeyValueStore] at some time. */
internal class StoreCopy(
    val entries: Map<String, StoredEntry>,
    val leases: Set<Long>,
    val revision: Long,
)

/** In-memory key-value store with revisions, leases, change history and watches. */
internal class KeyValueStore(private val clock: Clock) {
    private class Lease(
        val seconds: Long,
        var deadline: Timestamp,
    )

    private val entries = TreeMap<String, StoredEntry>()
    private val history = ArrayDeque<KeyChange>()
    private val leases = HashMap<Long, Lease>()
    private val listeners = ConcurrentHashMap<Long, Pair<String, (KeyChange) -> Unit>>()
    private val lastNumber = AtomicLong(FIRST_LEASE)

    private var compactedRevision = 0L

    /** Rises each time the store returns from an older copy. */
    @get:Synchronized
    var era = 1L
        private set

    /** Revision of the last change. */
    @get:Synchronized
    var revision = 1L
        private set

    @Synchronized
    fun read(key: String): StoredEntry? {
        expire()
        return entries[key]
    }

    /** Returns, in order, up to [limit] keys that begin with [prefix] and sort after [after]. */
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
     * Stores [puts] and removes the keys [removed] if each key in [expected] has the given revision, 0 if absent.
     */
    @Synchronized
    fun transact(expected: Map<String, Long>, puts: List<Put>, removed: List<String>): TransactionResult {
        expire()
        val isExpected = expected.all { (key, required) -> (entries[key]?.modRevision ?: 0) == required }
        if (!isExpected) return TransactionResult.RevisionMismatch
        if (puts.any { it.lease != 0L && it.lease !in leases }) return TransactionResult.LeaseNotFound
        revision++
        puts.forEach { put ->
            val created = entries[put.key]?.createRevision ?: revision
            val entry = StoredEntry(put.value, created, revision, put.lease)
            entries[put.key] = entry
            recordChange(KeyChange(put.key, entry, revision))
        }
        removed.forEach { if (entries.remove(it) != null) recordChange(KeyChange(it, null, revision)) }
        return TransactionResult.Committed(revision)
    }

    /** Changes after revision [after] of keys that begin with [prefix], or null when some were discarded. */
    @Synchronized
    fun changes(prefix: String, after: Long): List<KeyChange>? {
        if (after < compactedRevision || after > revision) return null
        return history.filter { it.revision > after && it.key.startsWith(prefix) }
    }

    /** Returns the present contents. */
    @Synchronized
    fun copy(): StoreCopy {
        expire()
        return StoreCopy(TreeMap(entries), leases.keys.toSet(), revision)
    }

    /**
     * Goes back to [copy] in a new era: later writes and leases are lost, and their revisions are given out again.
     *
     * Leases of the copy run for their full time again. Watches continue from revisions of the new history only.
     */
    @Synchronized
    fun restore(copy: StoreCopy) {
        era++
        revision = copy.revision
        entries.clear()
        entries.putAll(copy.entries)
        leases.keys.retainAll(copy.leases)
        leases.values.forEach { it.deadline = clock().plusSeconds(it.seconds) }
        history.clear()
        compactedRevision = revision
    }

    /** Discards the change history. */
    @Synchronized
    fun compact() {
        history.clear()
        compactedRevision = revision
    }

    @Synchronized
    fun grant(seconds: Long): Long {
        val number = lastNumber.incrementAndGet()
        leases[number] = Lease(seconds, clock().plusSeconds(seconds))
        return number
    }

    /** Renews the lease and returns its duration in seconds, or 0 when it has ended. */
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

    /** Ends all leases and removes their keys. */
    @Synchronized
    fun endLeases() {
        leases.keys.toList().forEach(::revoke)
    }

    /** Ends expired leases and removes their keys. */
    @Synchronized
    fun expire() {
        val now = clock()
        leases.filterValues { it.deadline < now }.keys.forEach { number ->
            leases.remove(number)
            removeKeysOf(number)
        }
    }

    /** Calls [listener] for each later change under [prefix]; returns the number to pass to [unwatch]. */
    @Synchronized
    fun watch(prefix: String, listener: (KeyChange) -> Unit): Long {
        val number = lastNumber.incrementAndGet()
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
            recordChange(KeyChange(key, null, revision))
        }
    }

    private fun recordChange(change: KeyChange) {
        history.addLast(change)
        if (history.size > MAXIMUM_HISTORY) compactedRevision = history.removeFirst().revision
        listeners.values.filter { change.key.startsWith(it.first) }.forEach { it.second(change) }
    }

    private companion object {
        /** Bounds memory; no test makes this many changes. */
        const val MAXIMUM_HISTORY = 10_000

        /** Above 2^53, so that a client that decodes lease numbers as floating point fails. */
        const val FIRST_LEASE = 9_007_199_254_740_993L
    }
}
