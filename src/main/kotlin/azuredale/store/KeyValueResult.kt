package azuredale.store

import azuredale.time.Timestamp

/** Result of reading a key. */
public sealed interface ReadResult {
    /** The key has [stored]. */
    public data class Found(val stored: StoredValue) : ReadResult

    /** The key does not exist. */
    public data object Missing : ReadResult

    /** The service gave no usable answer. */
    public data class Failed(val failure: CallFailure) : ReadResult
}

/** Result of reading a key's version. */
public sealed interface VersionResult {
    /** The key has [version], [KeyVersion.ABSENT] when it does not exist. */
    public data class Found(val version: KeyVersion) : VersionResult

    /** The service gave no usable answer. */
    public data class Failed(val failure: CallFailure) : VersionResult
}

/** Result of a conditional write. */
public sealed interface WriteResult {
    /** The value is stored under [version]. */
    public data class Written(val version: KeyVersion) : WriteResult

    /** The key had another version; [current] is its value, null when it does not exist. Nothing was written. */
    public data class Conflict(val current: StoredValue?) : WriteResult

    /** Nothing was written. */
    public data class NotWritten(val failure: CallFailure) : WriteResult

    /** The request was sent and the answer was lost; the value may be stored now or later. */
    public data class Unknown(val failure: CallFailure) : WriteResult
}

/** Result of a call that concerns a lease. */
public sealed interface LeaseResult {
    /**
     * The lease is held.
     *
     * @property deadline time up to which the holder may rely on it: the start of the call plus the lease's length, so
     *   the service never ends it earlier.
     */
    public data class Held(
        val lease: LeaseId,
        val deadline: Timestamp,
    ) : LeaseResult

    /** The lease does not exist any more. */
    public data object Ended : LeaseResult

    /** The service gave no usable answer; a granted lease ends by itself. */
    public data class Failed(val failure: CallFailure) : LeaseResult
}

/** An event of a watch. */
public sealed interface WatchEvent {
    /** The watch is established; later changes are reported. */
    public data object Started : WatchEvent

    /** The key has [stored]. */
    public data class Changed(val stored: StoredValue) : WatchEvent

    /** The key was removed. */
    public data class Removed(val version: KeyVersion) : WatchEvent

    /** The watch is lost; changes may have been missed. */
    public data class Broken(val failure: CallFailure) : WatchEvent
}

/** Why a call gave no usable answer. */
public data class CallFailure(
    val reason: CallFailureReason,
    val detail: String,
)

/** Reasons of [CallFailure]. */
public enum class CallFailureReason {
    /** The node's own budget is used up; nothing was sent. */
    BUDGET_EXHAUSTED,

    /** No connection could be opened; nothing was sent. */
    NOT_CONNECTED,

    /** The service refused the call, so it had no effect. */
    REFUSED,

    /** The lease named in the call does not exist; the call had no effect. */
    LEASE_ENDED,

    /** No answer arrived before the deadline. */
    DEADLINE_PASSED,

    /** The answer was lost, malformed or an error that does not exclude an effect. */
    ANSWER_LOST,
    ;

    /** Whether the call surely had no effect. */
    public val isWithoutEffect: Boolean get() = this != DEADLINE_PASSED && this != ANSWER_LOST
}

/** A key with what is stored under it. */
public class StoredItem(
    public val key: String,
    public val value: StoredValue,
)

/** Result of reading all keys with a prefix. */
public sealed interface ListResult {
    /**
     * The [items] in the order of their keys.
     *
     * @property revision the service's revision when the first page was read; a key that changed later may be missing
     *   or newer.
     */
    public data class Found(
        val items: List<StoredItem>,
        val revision: Long,
    ) : ListResult

    /** The service gave no usable answer. */
    public data class Failed(val failure: CallFailure) : ListResult
}
