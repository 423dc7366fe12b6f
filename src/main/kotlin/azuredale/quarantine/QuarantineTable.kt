package azuredale.quarantine

import azuredale.identity.PartId

/**
 * The quarantined parts as kept in the store.
 *
 * @property revision revision of the store at which the table was read, which orders tables; 0 before the first read.
 * @property trials number of trial requests so far, for each quarantined part.
 */
internal class QuarantineTable(
    val revision: Long,
    val trials: Map<PartId, Int>,
) {
    companion object {
        val UNKNOWN = QuarantineTable(0, emptyMap())
    }
}
