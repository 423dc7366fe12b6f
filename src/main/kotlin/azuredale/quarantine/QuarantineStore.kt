package azuredale.quarantine

import azuredale.identity.PartId
import azuredale.time.Timestamp

/** Result of a call to the [QuarantineStore]. */
internal sealed interface QuarantineCallResult {
    /** The call took effect. */
    data object Done : QuarantineCallResult

    /** Another router or an operator has changed the entry first. */
    data object Conflict : QuarantineCallResult

    /** The call failed, or its effect is unknown. */
    data class Failed(val detail: String) : QuarantineCallResult
}

/** The lasting copy of the quarantine, shared by all routers and readable by operators. */
internal interface QuarantineStore {
    /** Reads the whole table, or returns null if the store gave no usable response. */
    suspend fun read(deadline: Timestamp): QuarantineTable?

    /** Adds [part] without trials. It is a conflict if the part is present. */
    suspend fun add(part: PartId, deadline: Timestamp): QuarantineCallResult

    /** Removes [part]. */
    suspend fun remove(part: PartId, deadline: Timestamp): QuarantineCallResult

    /** Counts one more trial of [part]. It is a conflict unless the part is present with [trials] trials. */
    suspend fun addTrial(part: PartId, trials: Int, deadline: Timestamp): QuarantineCallResult
}
