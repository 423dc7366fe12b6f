package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.logging.EventLog
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
import azuredale.store.VersionResult
import azuredale.store.WatchEvent
import azuredale.store.WriteResult
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.encodeToString
import java.util.Base64

/**
 * [KeyValueService] that calls the platform's store over HTTP.
 *
 * ```
 * val service = StoreClient(vertx, settings.storeAddress, CallRateLimiter(20.0, 40, clock), clock)
 * val servers = service.list("servers/", clock().plusMilliseconds(500))
 * ```
 */
public class StoreClient(
    vertx: Vertx,
    address: NetworkAddress,
    rateLimiter: CallRateLimiter,
    private val clock: Clock,
) : KeyValueService,
    AutoCloseable {
    private val log = EventLog("azuredale.platform")
    private val http =
        vertx.createHttpClient(
            HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS).setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_WAITING_CALLS),
        )
    private val calls = StoreCalls(http, address, rateLimiter, clock, LargeValueDecoder(vertx))

    override suspend fun read(key: String, deadline: Timestamp): ReadResult =
        when (val response = calls.send(HttpMethod.GET, PlatformPath.KEY, mapOf("key" to key), null, deadline)) {
            is StoreCallResult.Failed -> ReadResult.Failed(response.failure)
            is StoreCallResult.Missing -> ReadResult.Missing(response.era)
            else ->
                calls.decode<ItemMessage, ReadResult>(response, { ReadResult.Found(it.toValue(), response.era) }) {
                    ReadResult.Failed(it)
                }
        }

    override suspend fun readVersion(key: String, deadline: Timestamp): VersionResult =
        when (val read = read(key, deadline)) {
            is ReadResult.Failed -> VersionResult.Failed(read.failure)
            is ReadResult.Missing -> VersionResult.Found(KeyVersion.ABSENT, read.era)
            is ReadResult.Found -> VersionResult.Found(read.stored.version, read.era)
        }

    override suspend fun list(prefix: String, deadline: Timestamp): ListResult {
        val items = mutableListOf<StoredItem>()
        var after = ""
        var point = StorePoint.NONE
        while (true) {
            val query = mapOf("path-prefix" to prefix) + if (after.isEmpty()) emptyMap() else mapOf("after" to after)
            val response = calls.send(HttpMethod.GET, PlatformPath.RANGE, query, null, deadline)
            val page =
                calls.decode<RangeMessage, Page>(response, { Page.Read(it) }) { Page.Failed(it) }
            val read =
                when (page) {
                    is Page.Failed -> return ListResult.Failed(page.failure)
                    is Page.Read -> page.range
                }
            items += read.items.map { it.toItem() }
            if (point == StorePoint.NONE) point = StorePoint(response.era, read.storeRevision)
            if (point.era != response.era) return ListResult.Failed(eraChanged(point.era, response.era))
            if (!read.hasMore || read.items.isEmpty()) return ListResult.Found(items, point)
            after = read.items.last().key
        }
    }

    private fun eraChanged(before: StoreEra, after: StoreEra) =
        CallFailure(CallFailureReason.ANSWER_LOST, "the store went from era $before to $after meanwhile")

    override suspend fun write(
        key: String,
        value: ByteArray,
        expected: KeyVersion,
        deadline: Timestamp,
        lease: LeaseId?,
    ): WriteResult {
        val put = PutMessage(key, Base64.getEncoder().encodeToString(value), lease?.value ?: 0)
        return transact(TransactionMessage(listOf(ExpectedMessage(key, expected.value)), listOf(put)), deadline)
    }

    override suspend fun remove(key: String, expected: KeyVersion, deadline: Timestamp): WriteResult =
        transact(TransactionMessage(listOf(ExpectedMessage(key, expected.value)), emptyList(), listOf(key)), deadline)

    private suspend fun transact(message: TransactionMessage, deadline: Timestamp): WriteResult {
        val text = platformJson.encodeToString(message)
        return when (val response = calls.send(HttpMethod.POST, PlatformPath.TRANSACTION, emptyMap(), text, deadline)) {
            is StoreCallResult.Failed ->
                if (response.failure.reason.isWithoutEffect) {
                    WriteResult.NotWritten(response.failure)
                } else {
                    WriteResult.Unknown(response.failure)
                }
            is StoreCallResult.Missing ->
                WriteResult.NotWritten(CallFailure(CallFailureReason.LEASE_ENDED, "the lease does not exist"))
            is StoreCallResult.Conflict ->
                calls.decode<ConflictMessage, WriteResult>(
                    response,
                    { conflict -> WriteResult.Conflict(conflict.items.firstOrNull { it.revision > 0 }?.toValue()) },
                ) { WriteResult.NotWritten(it) }
            is StoreCallResult.Success ->
                calls.decode<WrittenMessage, WriteResult>(
                    response,
                    { WriteResult.Written(KeyVersion(it.revision)) },
                ) { WriteResult.Unknown(it) }
        }
    }

    override suspend fun grantLease(seconds: Long, deadline: Timestamp): LeaseResult {
        val body = platformJson.encodeToString(LeaseRequest(seconds * MILLISECONDS_PER_SECOND))
        return lease(HttpMethod.POST, PlatformPath.LEASE, body, deadline, granted = null)
    }

    override suspend fun keepAlive(lease: LeaseId, deadline: Timestamp): LeaseResult =
        lease(HttpMethod.POST, PlatformPath.KEEP_LEASE + lease, null, deadline, granted = lease)

    override suspend fun revoke(lease: LeaseId, deadline: Timestamp): LeaseResult = when (
        val response = calls.send(HttpMethod.DELETE, PlatformPath.END_LEASE + lease, emptyMap(), null, deadline)
    ) {
        is StoreCallResult.Failed -> LeaseResult.Failed(response.failure)
        else -> LeaseResult.Ended
    }

    override fun watch(key: String): Flow<WatchEvent> = flow {
        var after = 0L
        var era = StoreEra.NONE
        when (val start = list(key, clock().plusMilliseconds(WATCH_START_TIMEOUT_MILLISECONDS))) {
            is ListResult.Failed -> {
                emit(watchLost(key, start.failure))
                return@flow
            }
            is ListResult.Found -> {
                after = start.point.revision
                era = start.point.era
            }
        }
        emit(WatchEvent.Started)
        while (true) {
            val query =
                mapOf(
                    "path-prefix" to key,
                    "after" to after.toString(),
                    "wait-ms" to WATCH_WAIT_MILLISECONDS.toString(),
                )
            val deadline = clock().plusMilliseconds(WATCH_WAIT_MILLISECONDS + WATCH_MARGIN_MILLISECONDS)
            val response = calls.send(HttpMethod.GET, PlatformPath.WATCH, query, null, deadline)
            val result =
                calls.decode<WatchMessage, WatchResult>(
                    response,
                    { if (response.era == era) WatchResult.Received(it) else lost(era, response.era) },
                ) { WatchResult.Lost(it) }
            when (result) {
                is WatchResult.Lost -> {
                    emit(watchLost(key, result.failure))
                    return@flow
                }
                is WatchResult.Received -> {
                    result.message.events
                        .filter { it.key == key }
                        .forEach { emit(eventOf(it, era)) }
                    after = result.message.storeRevision
                }
            }
        }
    }

    override fun close() {
        http.close()
    }

    private fun lost(before: StoreEra, after: StoreEra) = WatchResult.Lost(eraChanged(before, after))

    private fun watchLost(key: String, failure: CallFailure): WatchEvent {
        log.write(PlatformLogEvent.WATCH_BROKEN, "key" to key, "failure" to failure)
        return WatchEvent.Broken(failure)
    }

    private fun eventOf(item: ItemMessage, era: StoreEra): WatchEvent =
        if (item.isRemoved) WatchEvent.Removed(KeyVersion(item.revision)) else WatchEvent.Changed(item.toValue(), era)

    private suspend fun lease(
        method: HttpMethod,
        path: String,
        body: String?,
        deadline: Timestamp,
        granted: LeaseId?,
    ): LeaseResult {
        // The store counts the lease from the arrival of the call, so a deadline counted from here is never too late.
        val start = clock()
        return when (val response = calls.send(method, path, emptyMap(), body, deadline)) {
            is StoreCallResult.Failed -> LeaseResult.Failed(response.failure)
            is StoreCallResult.Missing -> LeaseResult.Ended
            else ->
                calls.decode<LeaseMessage, LeaseResult>(
                    response,
                    { LeaseResult.Held(granted ?: LeaseId(it.lease), start.plusMilliseconds(it.milliseconds)) },
                ) { LeaseResult.Failed(it) }
        }
    }

    private sealed interface Page {
        class Read(val range: RangeMessage) : Page

        class Failed(val failure: CallFailure) : Page
    }

    private sealed interface WatchResult {
        class Received(val message: WatchMessage) : WatchResult

        class Lost(val failure: CallFailure) : WatchResult
    }

    private companion object {
        /** Connecting takes milliseconds, and a lost packet is retransmitted well before this limit. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 400

        /** Shorter than the idle timeouts of common servers, so calls rarely use a connection that is being closed. */
        const val KEEP_ALIVE_SECONDS = 10
        const val MAXIMUM_CONNECTIONS = 6
        const val MAXIMUM_WAITING_CALLS = 64
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Longest wait that the store accepts. */
        const val WATCH_WAIT_MILLISECONDS = 30_000L
        const val WATCH_MARGIN_MILLISECONDS = 1_000L

        /** Deadline for reading the revision at which the watch starts; the same as for any other call. */
        const val WATCH_START_TIMEOUT_MILLISECONDS = 900L
    }
}
