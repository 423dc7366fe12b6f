package azuredale.store

import azuredale.time.Timestamp

/** Result of [KeyValueService.read]. */
public sealed interface ReadResult {
    /** The key exists with the value [stored], in the given [era] of the store. */
    public data class Found(
        val stored: StoredValue,
        val era: StoreEra = StoreEra.NONE,
    ) : ReadResult

    /** The key does not exist in the given [era] of the store. */
    public data class Missing(val era: StoreEra = StoreEra.NONE) : ReadResult

    /** The service gave no usable response. */
    public data class Failed(val failure: CallFailure) : ReadResult
}

/** Result of [KeyValueService.readVersion]. */
public sealed interface VersionResult {
    /** The key has [version], which is [KeyVersion.ABSENT] if it does not exist, in the given [era] of the store. */
    public data class Found(
        val version: KeyVersion,
        val era: StoreEra = StoreEra.NONE,
    ) : VersionResult

    /** The service gave no usable response. */
    public data class Failed(val failure: CallFailure) : VersionResult
}

/** Result of [KeyValueService.write], a conditional write. */
public sealed interface WriteResult {
    /** The value was stored with [version]. */
    public data class Written(val version: KeyVersion) : WriteResult

    /** The key had another version and nothing was written. [current] is its value, or null if it does not exist. */
    public data class Conflict(val current: StoredValue?) : WriteResult

    /** The call failed and nothing was written. */
    public data class NotWritten(val failure: CallFailure) : WriteResult

    /** The request was sent but no usable response arrived, so the value may be stored now or later. */
    public data class Unknown(val failure: CallFailure) : WriteResult
}

/** Result of a call that grants, extends or revokes a lease. */
public sealed interface LeaseResult {
    /**
     * The lease is active.
     *
     * @property deadline time until which the holder may rely on the lease. It is the start of the call plus the
     *   duration of the lease, so the service does not end the lease earlier.
     */
    public data class Held(
        val lease: LeaseId,
        val deadline: Timestamp,
    ) : LeaseResult

    /** The lease no longer exists. */
    public data object Ended : LeaseResult

    /** The service gave no usable response. If a lease was granted, it ends by itself. */
    public data class Failed(val failure: CallFailure) : LeaseResult
}

/** Event reported by [KeyValueService.watch]. */
public sealed interface WatchEvent {
    /** The watch is established, and changes from now on are reported. */
    public data object Started : WatchEvent

    /** The key was written and has the value [stored], in the given [era] of the store. */
    public data class Changed(
        val stored: StoredValue,
        val era: StoreEra = StoreEra.NONE,
    ) : WatchEvent

    /** The key was removed. */
    public data class Removed(val version: KeyVersion) : WatchEvent

    /** The watch was lost, and changes may have been missed. */
    public data class Broken(val failure: CallFailure) : WatchEvent
}

/** Reason and details of a call that gave no usable response. */
public data class CallFailure(
    val reason: CallFailureReason,
    val detail: String,
)

/** Reason of a [CallFailure]. */
public enum class CallFailureReason {
    /** The rate limit of this node is exhausted; nothing was sent. */
    BUDGET_EXHAUSTED,

    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED,

    /** The service rejected the call, so it had no effect. */
    REFUSED,

    /** The lease used by the call does not exist, so the call had no effect. */
    LEASE_ENDED,

    /** No response arrived before the deadline, so the call may have had an effect. */
    DEADLINE_PASSED,

    /** The response was lost, malformed, or an error after which the call may have had an effect. */
    ANSWER_LOST,
    ;

    /** Whether the call is guaranteed to have had no effect. */
    public val isWithoutEffect: Boolean get() = this != DEADLINE_PASSED && this != ANSWER_LOST
}

/** A key and its value. */
public class StoredItem(
    public val key: String,
    public val value: StoredValue,
)

/** Result of [KeyValueService.list]. */
public sealed interface ListResult {
    /**
     * The keys were read.
     *
     * @property items the keys and values, ordered by key.
     * @property point point in the service's history when the first page was read. A key that changed later may be
     *   missing or newer.
     */
    public data class Found(
        val items: List<StoredItem>,
        val point: StorePoint,
    ) : ListResult

    /** The service gave no usable response. */
    public data class Failed(val failure: CallFailure) : ListResult
}
