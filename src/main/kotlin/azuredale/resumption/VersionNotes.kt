package azuredale.resumption

import azuredale.identity.PoolId
import azuredale.time.Timestamp

/** Lasting notes of the pools whose servers had several software versions lately, for routers that start. */
internal interface VersionNotes {
    /** Reads all notes, or returns null if the store gave no usable response. */
    suspend fun read(deadline: Timestamp): Set<PoolId>?

    /** Writes a note of [pool]; returns whether the store has one now. */
    suspend fun add(pool: PoolId, deadline: Timestamp): Boolean

    /** Removes the note of [pool]; returns whether the store has none now. */
    suspend fun remove(pool: PoolId, deadline: Timestamp): Boolean
}
