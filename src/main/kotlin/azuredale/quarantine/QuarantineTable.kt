package azuredale.quarantine

import azuredale.identity.PartId
import azuredale.store.StorePoint

/**
 * The quarantined parts as kept in the store.
 *
 * @property point point in the store's history at which the table was read, which orders tables.
 * @property trials number of trial requests so far, for each quarantined part.
 */
internal class QuarantineTable(
    val point: StorePoint,
    val trials: Map<PartId, Int>,
) {
    companion object {
        val UNKNOWN = QuarantineTable(StorePoint.NONE, emptyMap())
    }
}
