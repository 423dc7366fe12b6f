package azuredale.standin

import azuredale.time.Clock
import azuredale.time.Timestamp
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A key's value as the stand-in stores it. */
internal class StoredEntry(
    val value: ByteArray,
    val createRevision: Long,
    val modRevision: Long,
    val version: Long,
    val lease: Long,
)

/** A change of [key] at [revision]; a null [entry] means that the key was removed. */
internal class KeyChange(
    val key: String,
    val entry: StoredEntry?,
    val revision: Long,
)

/** Result of a compare-and-swap. */
internal sealed interface SwapResult {
    class Swapped(val revision: Long) : SwapResult

    class Mismatch(val entry: StoredEntry?) : SwapResult

    data object NoLease : SwapResult
}

/** Keys, revisions, leases and watches in memory, with the semantics of etcd version 3 for single keys. */
internal class KeyValueStore(private val clock: Clock) {
    private class Lease(
        val seconds: Long,
        var deadline: Timestamp,
    )

    private val entries = HashMap<String, StoredEntry>()
    private val leases = HashMap<Long, Lease>()
    private val listeners = ConcurrentHashMap<Long, Pair<String, (KeyChange) -> Unit>>()
    private val numbers = AtomicLong(FIRST_LEASE)

    /** Revision of the last change. */
    @get:Synchronized
    var revision = 1L
        private set

    @Synchronized
    fun read(key: String): StoredEntry? {
        expire()
        return entries[key]
    }

    /** Writes [key] when [isExpected] holds for its present entry. */
    @Synchronized
    fun swap(key: String, value: ByteArray, lease: Long, isExpected: (StoredEntry?) -> Boolean): SwapResult {
        expire()
        val present = entries[key]
        if (!isExpected(present)) return SwapResult.Mismatch(present)
        if (lease != 0L && lease !in leases) return SwapResult.NoLease
        revision++
        val entry =
            StoredEntry(
                value = value,
                createRevision = present?.createRevision ?: revision,
                modRevision = revision,
                version = (present?.version ?: 0) + 1,
                lease = lease,
            )
        entries[key] = entry
        notify(KeyChange(key, entry, revision))
        return SwapResult.Swapped(revision)
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

    /** Calls [listener] for each later change of [key]; returns a number for [unwatch]. */
    @Synchronized
    fun watch(key: String, listener: (KeyChange) -> Unit): Long {
        val number = numbers.incrementAndGet()
        listeners[number] = key to listener
        return number
    }

    fun unwatch(number: Long) {
        listeners.remove(number)
    }

    private fun removeKeysOf(lease: Long) {
        entries.filterValues { it.lease == lease }.keys.forEach { key ->
            entries.remove(key)
            revision++
            notify(KeyChange(key, null, revision))
        }
    }

    private fun notify(change: KeyChange) =
        listeners.values.filter { it.first == change.key }.forEach { it.second(change) }

    private companion object {
        /** Above 2^53, so that a client that reads lease numbers as floating point fails. */
        const val FIRST_LEASE = 9_007_199_254_740_993L
    }
}
