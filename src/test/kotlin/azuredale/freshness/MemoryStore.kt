package azuredale.freshness

import azuredale.standin.KeyValueStore
import azuredale.standin.Put
import azuredale.standin.StoredEntry
import azuredale.standin.TransactionResult
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.CallRateLimiter
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.ListResult
import azuredale.store.ReadResult
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.store.StoredItem
import azuredale.store.StoredValue
import azuredale.store.VersionResult
import azuredale.store.WatchEvent
import azuredale.store.WriteResult
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow

/** One router's calls to a [KeyValueStore] in memory, which answers after a short time unless [isAway]. */
internal class MemoryStore(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val isAway: () -> Boolean,
) : KeyValueService {
    private val limiter = CallRateLimiter(CALLS_PER_SECOND, CALL_BURST, clock)

    private val era get() = StoreEra(store.era)

    /** Number of calls that were made. */
    val calls get() = limiter.allowed

    /** Number of writes among them, those of leases included. */
    var writes = 0
        private set

    override suspend fun read(key: String, deadline: Timestamp): ReadResult = call(
        { store.read(key)?.let { ReadResult.Found(value(it), era) } ?: ReadResult.Missing(era) },
        ReadResult::Failed,
    )

    override suspend fun readVersion(key: String, deadline: Timestamp): VersionResult = call(
        { VersionResult.Found(KeyVersion(store.read(key)?.modRevision ?: 0), era) },
        VersionResult::Failed,
    )

    override suspend fun list(prefix: String, deadline: Timestamp): ListResult = call(
        {
            val items =
                store.list(prefix, after = "", Int.MAX_VALUE).map { (key, entry) ->
                    StoredItem(key, value(entry))
                }
            ListResult.Found(items, StorePoint(era, store.revision))
        },
        ListResult::Failed,
    )

    override suspend fun write(
        key: String,
        value: ByteArray,
        expected: KeyVersion,
        deadline: Timestamp,
        lease: LeaseId?,
    ): WriteResult = transact(key, expected, listOf(Put(key, value, lease?.value ?: 0)), emptyList())

    override suspend fun remove(key: String, expected: KeyVersion, deadline: Timestamp): WriteResult =
        transact(key, expected, emptyList(), listOf(key))

    private suspend fun transact(key: String, expected: KeyVersion, puts: List<Put>, removed: List<String>) = call(
        {
            writes++
            when (val result = store.transact(mapOf(key to expected.value), puts, removed)) {
                is TransactionResult.Committed -> WriteResult.Written(KeyVersion(result.revision))
                is TransactionResult.RevisionMismatch -> WriteResult.Conflict(store.read(key)?.let(::value))
                is TransactionResult.LeaseNotFound -> WriteResult.NotWritten(FAILURE)
            }
        },
        WriteResult::NotWritten,
    )

    override suspend fun grantLease(seconds: Long, deadline: Timestamp): LeaseResult = call(
        {
            writes++
            LeaseResult.Held(LeaseId(store.grant(seconds)), clock().plusSeconds(seconds))
        },
        LeaseResult::Failed,
    )

    override suspend fun keepAlive(lease: LeaseId, deadline: Timestamp): LeaseResult = call(
        {
            val seconds = store.keepAlive(lease.value)
            if (seconds == 0L) LeaseResult.Ended else LeaseResult.Held(lease, clock().plusSeconds(seconds))
        },
        LeaseResult::Failed,
    )

    override suspend fun revoke(lease: LeaseId, deadline: Timestamp): LeaseResult = call(
        {
            store.revoke(lease.value)
            LeaseResult.Ended
        },
        LeaseResult::Failed,
    )

    override fun watch(key: String): Flow<WatchEvent> = emptyFlow()

    private suspend fun <T> call(answer: () -> T, onFailure: (CallFailure) -> T): T {
        if (!limiter.tryAcquire()) return onFailure(CallFailure(CallFailureReason.BUDGET_EXHAUSTED, "limit used up"))
        delay(TRANSIT_MILLISECONDS)
        if (isAway()) return onFailure(FAILURE)
        val result = answer()
        delay(TRANSIT_MILLISECONDS)
        return result
    }

    private fun value(entry: StoredEntry) = StoredValue(entry.value, KeyVersion(entry.modRevision))

    companion object {
        /** Limit of a real process. */
        const val CALLS_PER_SECOND = 20.0
        private const val CALL_BURST = 40
        private const val TRANSIT_MILLISECONDS = 2L
        private val FAILURE = CallFailure(CallFailureReason.REFUSED, "away")
    }
}
