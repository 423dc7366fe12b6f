package azuredale.platform

import azuredale.freshness.EraNotes
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.ReadResult
import azuredale.store.StoreEra
import azuredale.store.StoredValue
import azuredale.store.WriteResult
import azuredale.time.Timestamp

/** The note of the settled era in the store, under [StoreKey.SETTLED_ERA]. */
internal class EraRegistry(private val service: KeyValueService) : EraNotes {
    override suspend fun read(deadline: Timestamp): StoreEra? =
        when (val read = service.read(StoreKey.SETTLED_ERA, deadline)) {
            is ReadResult.Failed -> null
            is ReadResult.Missing -> StoreEra.NONE
            is ReadResult.Found -> eraOf(read.stored)
        }

    override suspend fun write(era: StoreEra, deadline: Timestamp): Boolean {
        val first = put(era, KeyVersion.ABSENT, deadline)
        val present = (first as? WriteResult.Conflict)?.current ?: return first is WriteResult.Written
        if (eraOf(present) >= era) return true
        return put(era, present.version, deadline) is WriteResult.Written
    }

    private suspend fun put(era: StoreEra, expected: KeyVersion, deadline: Timestamp) =
        service.write(StoreKey.SETTLED_ERA, era.toString().encodeToByteArray(), expected, deadline)

    /** A note that is not a number says nothing. */
    private fun eraOf(stored: StoredValue): StoreEra = stored.bytes
        .decodeToString()
        .toLongOrNull()
        ?.let(::StoreEra) ?: StoreEra.NONE
}
