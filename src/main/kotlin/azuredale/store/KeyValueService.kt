package azuredale.store

import azuredale.time.Timestamp
import kotlinx.coroutines.flow.Flow

/** Version of a key: the service's revision at its last change, zero while the key does not exist. */
@JvmInline
public value class KeyVersion(public val value: Long) : Comparable<KeyVersion> {
    override fun compareTo(other: KeyVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The key does not exist; a write that expects this creates the key. */
        public val ABSENT: KeyVersion = KeyVersion(0)
    }
}

/** Number of a lease at the key-value service. */
@JvmInline
public value class LeaseId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** A value with the version under which it was stored. */
public class StoredValue(
    public val bytes: ByteArray,
    public val version: KeyVersion,
)

/**
 * The platform's key-value service, as far as routers use it.
 *
 * Every call is counted by the service and by the node's own [CallBudget]. A call ends at its deadline at the latest;
 * results say whether a write surely did not take effect.
 *
 * ```
 * val stored = service.read("/azuredale/document", deadline)
 * val result = service.write("/azuredale/document", bytes, KeyVersion.ABSENT, deadline)
 * ```
 */
public interface KeyValueService {
    /** Reads [key] with the newest value at some moment during the call. */
    public suspend fun read(key: String, deadline: Timestamp): ReadResult

    /** Reads the version of [key] without its value. */
    public suspend fun readVersion(key: String, deadline: Timestamp): VersionResult

    /** Reads all keys that begin with [prefix], page by page; pages are not a snapshot. */
    public suspend fun list(prefix: String, deadline: Timestamp): ListResult

    /** Writes [key] when its version is [expected]; the key is removed when [lease] ends. */
    public suspend fun write(
        key: String,
        value: ByteArray,
        expected: KeyVersion,
        deadline: Timestamp,
        lease: LeaseId? = null,
    ): WriteResult

    /** Grants a lease that ends [seconds] after its last keep-alive. */
    public suspend fun grantLease(seconds: Long, deadline: Timestamp): LeaseResult

    /** Extends [lease]. */
    public suspend fun keepAlive(lease: LeaseId, deadline: Timestamp): LeaseResult

    /** Ends [lease] and removes its keys. */
    public suspend fun revoke(lease: LeaseId, deadline: Timestamp): LeaseResult

    /** Watches [key] from now on; the flow ends with [WatchEvent.Broken] when the watch is lost. */
    public fun watch(key: String): Flow<WatchEvent>
}
