package azuredale.platform

import azuredale.identity.PartId
import azuredale.logging.EventLog
import azuredale.quarantine.QuarantineCallResult
import azuredale.quarantine.QuarantineLogEvent
import azuredale.quarantine.QuarantineStore
import azuredale.quarantine.QuarantineTable
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.ListResult
import azuredale.store.ReadResult
import azuredale.store.WriteResult
import azuredale.time.Timestamp

/** The quarantine in the store: one key under [StoreKey.QUARANTINE] for each part, whose value counts its trials. */
internal class QuarantineRegistry(private val service: KeyValueService) : QuarantineStore {
    private val log = EventLog("azuredale.platform")

    override suspend fun read(deadline: Timestamp): QuarantineTable? =
        when (val list = service.list(StoreKey.QUARANTINE, deadline)) {
            is ListResult.Failed -> null
            is ListResult.Found -> {
                val trials = LinkedHashMap<PartId, Int>()
                list.items.take(MAXIMUM_ENTRIES).forEach { item ->
                    val part = item.key.removePrefix(StoreKey.QUARANTINE)
                    val count = trialsOf(item.value.bytes)
                    if (count == null) {
                        log.write(QuarantineLogEvent.ENTRY_MALFORMED, "part" to part)
                    } else {
                        trials[PartId(part)] = count
                    }
                }
                QuarantineTable(list.point, trials)
            }
        }

    override suspend fun add(part: PartId, deadline: Timestamp): QuarantineCallResult =
        resultOf(service.write(key(part), value(0), KeyVersion.ABSENT, deadline))

    override suspend fun remove(part: PartId, deadline: Timestamp): QuarantineCallResult =
        when (val read = service.read(key(part), deadline)) {
            is ReadResult.Failed -> QuarantineCallResult.Failed(read.failure.toString())
            is ReadResult.Missing -> QuarantineCallResult.Conflict
            is ReadResult.Found -> resultOf(service.remove(key(part), read.stored.version, deadline))
        }

    override suspend fun addTrial(part: PartId, trials: Int, deadline: Timestamp): QuarantineCallResult =
        when (val read = service.read(key(part), deadline)) {
            is ReadResult.Failed -> QuarantineCallResult.Failed(read.failure.toString())
            is ReadResult.Missing -> QuarantineCallResult.Conflict
            is ReadResult.Found ->
                if (trialsOf(read.stored.bytes) == trials) {
                    resultOf(service.write(key(part), value(trials + 1), read.stored.version, deadline))
                } else {
                    QuarantineCallResult.Conflict
                }
        }

    private fun key(part: PartId) = StoreKey.QUARANTINE + part

    private fun value(trials: Int) = trials.toString().encodeToByteArray()

    private fun trialsOf(bytes: ByteArray): Int? = bytes.decodeToString().toIntOrNull()?.takeIf { it >= 0 }

    private fun resultOf(result: WriteResult) = when (result) {
        is WriteResult.Written -> QuarantineCallResult.Done
        is WriteResult.Conflict -> QuarantineCallResult.Conflict
        is WriteResult.NotWritten -> QuarantineCallResult.Failed(result.failure.toString())
        is WriteResult.Unknown -> QuarantineCallResult.Failed(result.failure.toString())
    }

    private companion object {
        /** Bounds memory and reports if operators add entries. */
        const val MAXIMUM_ENTRIES = 256
    }
}
