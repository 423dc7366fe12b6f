package azuredale.standin

import azuredale.platform.ConflictMessage
import azuredale.platform.ItemMessage
import azuredale.platform.LeaseMessage
import azuredale.platform.LeaseRequest
import azuredale.platform.PlatformHeader
import azuredale.platform.PlatformPath
import azuredale.platform.RangeMessage
import azuredale.platform.TransactionMessage
import azuredale.platform.WatchMessage
import azuredale.platform.WrittenMessage
import azuredale.platform.platformJson
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.encodeToString
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Response of [StoreStandIn]. */
internal class StoreResponse(
    val status: Int,
    val body: String = "{}",
)

/** Serves a [KeyValueStore] over the HTTP protocol of the platform's store. */
internal class StoreStandIn(
    private val vertx: Vertx,
    private val store: KeyValueStore,
) {
    private val watching = ConcurrentHashMap<Long, HttpServerResponse>()

    /** Number of open watches. */
    val openWatches: Int get() = watching.size

    fun answer(request: HttpServerRequest, body: String): StoreResponse {
        val path = request.path().orEmpty()
        return when {
            path == PlatformPath.KEY -> key(request.getParam("key").orEmpty())
            path == PlatformPath.RANGE ->
                range(request.getParam("path-prefix").orEmpty(), request.getParam("after").orEmpty())
            path == PlatformPath.TRANSACTION -> transaction(platformJson.decodeFromString(body))
            path == PlatformPath.LEASE -> lease(platformJson.decodeFromString<LeaseRequest>(body).milliseconds)
            path.startsWith(PlatformPath.KEEP_LEASE) -> keep(path.removePrefix(PlatformPath.KEEP_LEASE))
            path.startsWith(PlatformPath.END_LEASE) -> end(path.removePrefix(PlatformPath.END_LEASE))
            else -> StoreResponse(NOT_FOUND)
        }
    }

    /** Long poll: responds immediately if there are changes, otherwise at the next change or when the wait ends. */
    fun watch(context: RoutingContext) {
        val request = context.request()
        val prefix = request.getParam("path-prefix").orEmpty()
        val after = request.getParam("after").orEmpty().toLong()
        val response = context.response().putHeader(PlatformHeader.STORE_ERA, store.era.toString())
        val known = store.changes(prefix, after)
        if (known == null) {
            response.setStatusCode(GONE).end("{}")
            return
        }
        if (known.isNotEmpty()) {
            response.end(events(known))
            return
        }
        awaitChange(prefix, after, request.getParam("wait-ms").orEmpty().toLong(), response)
    }

    /** Closes the connection of every open watch. */
    fun breakWatches() {
        watching.values.forEach { it.reset() }
    }

    private fun awaitChange(prefix: String, after: Long, milliseconds: Long, response: HttpServerResponse) {
        val context = vertx.getOrCreateContext()
        var number = 0L
        // The listener runs on the writer's thread; the response is sent on the connection's event loop.
        number = store.watch(prefix) { context.runOnContext { finish(number, prefix, after) } }
        val timer = vertx.setTimer(milliseconds.coerceAtLeast(1)) { finish(number, prefix, after) }
        watching[number] = response
        response.closeHandler { watching.remove(number) }
        response.endHandler { release(number, timer) }
        response.exceptionHandler { watching.remove(number) }
        // Reports a change that came before the listener was registered or before the response was stored.
        if (store.changes(prefix, after)?.isEmpty() != true) finish(number, prefix, after)
    }

    private fun finish(number: Long, prefix: String, after: Long) {
        watching.remove(number)?.end(events(store.changes(prefix, after).orEmpty()))
    }

    private fun release(number: Long, timer: Long) {
        store.unwatch(number)
        vertx.cancelTimer(timer)
    }

    private fun key(key: String): StoreResponse {
        val entry = store.read(key) ?: return StoreResponse(NOT_FOUND)
        return StoreResponse(OK, platformJson.encodeToString(item(key, entry)))
    }

    private fun range(prefix: String, after: String): StoreResponse {
        val items = store.list(prefix, after, PAGE_ITEMS + 1)
        val page = items.take(PAGE_ITEMS).map { (key, entry) -> item(key, entry) }
        return StoreResponse(
            OK,
            platformJson.encodeToString(RangeMessage(page, items.size > PAGE_ITEMS, store.revision)),
        )
    }

    private fun transaction(message: TransactionMessage): StoreResponse {
        val expected = message.expected.associate { it.key to it.revision }
        val puts = message.puts.map { Put(it.key, Base64.getDecoder().decode(it.value), it.lease) }
        return when (val result = store.transact(expected, puts, message.removed)) {
            is TransactionResult.LeaseNotFound -> StoreResponse(NOT_FOUND)
            is TransactionResult.Committed ->
                StoreResponse(OK, platformJson.encodeToString(WrittenMessage(result.revision)))
            is TransactionResult.RevisionMismatch -> {
                val items = expected.keys.mapNotNull { key -> store.read(key)?.let { item(key, it) } }
                StoreResponse(CONDITION_FAILED, platformJson.encodeToString(ConflictMessage(items)))
            }
        }
    }

    private fun lease(milliseconds: Long): StoreResponse {
        val lease = store.grant(milliseconds / MILLISECONDS_PER_SECOND)
        return StoreResponse(OK, platformJson.encodeToString(LeaseMessage(lease, milliseconds)))
    }

    private fun keep(lease: String): StoreResponse {
        val seconds = store.keepAlive(lease.toLong())
        if (seconds == 0L) return StoreResponse(NOT_FOUND)
        return StoreResponse(
            OK,
            platformJson.encodeToString(LeaseMessage(lease.toLong(), seconds * MILLISECONDS_PER_SECOND)),
        )
    }

    private fun end(lease: String) = StoreResponse(if (store.revoke(lease.toLong())) OK else NOT_FOUND)

    private fun events(changes: List<KeyChange>): String {
        val events =
            changes.map { change ->
                change.entry?.let { item(change.key, it) }
                    ?: ItemMessage(change.key, revision = change.revision, isRemoved = true)
            }
        return platformJson.encodeToString(WatchMessage(events, store.revision))
    }

    private fun item(key: String, entry: StoredEntry) = ItemMessage(
        key = key,
        value = Base64.getEncoder().encodeToString(entry.value),
        revision = entry.modRevision,
        storeRevision = store.revision,
    )

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val CONDITION_FAILED = 412
        const val PAGE_ITEMS = 500
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
