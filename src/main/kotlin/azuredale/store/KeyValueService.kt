package azuredale.store

import azuredale.time.Timestamp
import kotlinx.coroutines.flow.Flow

/** Version of a key: the revision of the service at the last change of the key, or zero if the key does not exist. */
@JvmInline
public value class KeyVersion(public val value: Long) : Comparable<KeyVersion> {
    override fun compareTo(other: KeyVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Version of a key that does not exist. A write that expects it creates the key. */
        public val ABSENT: KeyVersion = KeyVersion(0)
    }
}

/** Identifies a lease of the key-value service. */
@JvmInline
public value class LeaseId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/**
 * A value and the version with which it was stored.
 *
 * @property size bytes of the value, or somewhat more.
 * @param decode decodes the value when [bytes] is first asked for, so that a version that is known costs nothing more.
 */
public class StoredValue(
    public val version: KeyVersion,
    public val size: Int,
    decode: () -> ByteArray,
) {
    /** The value; throws [IllegalArgumentException] if it is malformed. */
    public val bytes: ByteArray by lazy(decode)

    public constructor(bytes: ByteArray, version: KeyVersion) : this(version, bytes.size, { bytes })
}

/**
 * Client interface of the platform's key-value service, limited to the operations that routers use.
 *
 * Every call is counted by the service and limited by this node's [CallRateLimiter]. A call returns by its deadline at
 * the latest. The result of a write tells whether it is guaranteed not to have taken effect.
 *
 * ```
 * val stored = service.read("/azuredale/document", deadline)
 * val result = service.write("/azuredale/document", bytes, KeyVersion.ABSENT, deadline)
 * ```
 */
public interface KeyValueService {
    /** Reads [key] linearizably: the value is the newest one at some time during the call. */
    public suspend fun read(key: String, deadline: Timestamp): ReadResult

    /** Reads only the version of [key]. */
    public suspend fun readVersion(key: String, deadline: Timestamp): VersionResult

    /** Reads all keys that start with [prefix], page by page. The pages do not form a consistent snapshot. */
    public suspend fun list(prefix: String, deadline: Timestamp): ListResult

    /** Writes [key] if its version is [expected]. If [lease] is given, the key is removed when the lease ends. */
    public suspend fun write(
        key: String,
        value: ByteArray,
        expected: KeyVersion,
        deadline: Timestamp,
        lease: LeaseId? = null,
    ): WriteResult

    /** Removes [key] if its version is [expected]. */
    public suspend fun remove(key: String, expected: KeyVersion, deadline: Timestamp): WriteResult

    /** Requests a lease that ends [seconds] after it was last extended. */
    public suspend fun grantLease(seconds: Long, deadline: Timestamp): LeaseResult

    /** Extends [lease] by its full duration from now. */
    public suspend fun keepAlive(lease: LeaseId, deadline: Timestamp): LeaseResult

    /** Ends [lease] and removes the keys attached to it. */
    public suspend fun revoke(lease: LeaseId, deadline: Timestamp): LeaseResult

    /** Watches [key] for changes from now on. The flow ends with [WatchEvent.Broken] if the watch is lost. */
    public fun watch(key: String): Flow<WatchEvent>
}
