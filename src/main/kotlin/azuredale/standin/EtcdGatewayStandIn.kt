package azuredale.standin

import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.RoutingContext
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Answer of the gateway stand-in. */
internal class GatewayReply(
    val status: Int,
    val body: JsonObject = JsonObject(),
    val message: String = "",
)

/**
 * Translates between the etcd version 3 JSON gateway and [KeyValueStore].
 *
 * As the real gateway does, it prints 64-bit integers as strings and leaves out fields at their default.
 */
internal class EtcdGatewayStandIn(private val store: KeyValueStore) {
    private val watching = ConcurrentHashMap<Long, HttpServerResponse>()

    /** Watches that are open. */
    val watches: Int get() = watching.size

    fun answer(path: String, body: JsonObject): GatewayReply = when (path) {
        "/v3/kv/range" -> GatewayReply(OK, range(body).put("header", header()))
        "/v3/kv/txn" -> transaction(body)
        "/v3/lease/grant" -> grant(body)
        "/v3/lease/keepalive" -> keepAlive(body)
        "/v3/lease/revoke" -> revoke(body)
        else -> GatewayReply(NOT_FOUND, message = "Not Found")
    }

    fun watch(context: RoutingContext) {
        val request = (context.body().asJsonObject() ?: JsonObject()).getJsonObject("create_request")
        val response = context.response().setChunked(true)
        val key = decode(request.getString("key")).decodeToString()
        response.write(message(JsonObject().put("created", true)))
        val number =
            store.watch(key) { change ->
                response.write(message(JsonObject().put("events", JsonArray().add(event(change)))))
            }
        watching[number] = response
        response.closeHandler {
            store.unwatch(number)
            watching.remove(number)
        }
    }

    fun breakWatches() {
        watching.values.forEach { it.reset() }
    }

    private fun range(body: JsonObject): JsonObject {
        val key = decode(body.getString("key")).decodeToString()
        val entry = store.read(key) ?: return JsonObject()
        val pair = pair(key, entry, isVersionOnly = body.getBoolean("keys_only", false))
        return JsonObject().put("kvs", JsonArray().add(pair)).put("count", "1")
    }

    private fun transaction(body: JsonObject): GatewayReply {
        val put = body.getJsonArray("success").getJsonObject(0).getJsonObject("request_put")
        val key = decode(put.getString("key")).decodeToString()
        val lease = put.getString("lease")?.toLong() ?: 0
        val expected = { entry: StoredEntry? -> body.getJsonArray("compare").all { matches(it as JsonObject, entry) } }
        return when (val result = store.swap(key, decode(put.getString("value")), lease, expected)) {
            is SwapResult.NoLease -> GatewayReply(NOT_FOUND, message = "etcdserver: requested lease not found")
            is SwapResult.Swapped -> {
                val header = JsonObject().put("revision", result.revision.toString())
                val response = JsonObject().put("response_put", JsonObject().put("header", header))
                val responses = JsonArray().add(response)
                GatewayReply(OK, JsonObject().put("succeeded", true).put("responses", responses).put("header", header))
            }
            is SwapResult.Mismatch -> {
                val range = body.getJsonArray("failure").getJsonObject(0).getJsonObject("request_range")
                val responses = JsonArray().add(JsonObject().put("response_range", range(range)))
                GatewayReply(OK, JsonObject().put("responses", responses).put("header", header()))
            }
        }
    }

    private fun matches(compare: JsonObject, entry: StoredEntry?): Boolean {
        val actual =
            when (compare.getString("target")) {
                "MOD" -> "mod_revision" to (entry?.modRevision ?: 0)
                "CREATE" -> "create_revision" to (entry?.createRevision ?: 0)
                else -> "version" to (entry?.version ?: 0)
            }
        return compare.getString("result") == "EQUAL" && compare.getString(actual.first, "0").toLong() == actual.second
    }

    private fun grant(body: JsonObject): GatewayReply {
        val seconds = body.getString("TTL").toLong()
        val lease = JsonObject().put("ID", store.grant(seconds).toString()).put("TTL", seconds.toString())
        return GatewayReply(OK, lease.put("header", header()))
    }

    private fun keepAlive(body: JsonObject): GatewayReply {
        val seconds = store.keepAlive(body.getString("ID").toLong())
        val result = JsonObject().put("ID", body.getString("ID")).put("header", header())
        if (seconds > 0) result.put("TTL", seconds.toString())
        return GatewayReply(OK, JsonObject().put("result", result))
    }

    private fun revoke(body: JsonObject): GatewayReply = if (store.revoke(body.getString("ID").toLong())) {
        GatewayReply(OK, JsonObject().put("header", header()))
    } else {
        GatewayReply(NOT_FOUND, message = "etcdserver: requested lease not found")
    }

    private fun event(change: KeyChange): JsonObject {
        val entry = change.entry
        if (entry != null) return JsonObject().put("kv", pair(change.key, entry, isVersionOnly = false))
        val pair =
            JsonObject()
                .put("key", encode(change.key.encodeToByteArray()))
                .put("mod_revision", change.revision.toString())
        return JsonObject().put("type", "DELETE").put("kv", pair)
    }

    private fun pair(key: String, entry: StoredEntry, isVersionOnly: Boolean): JsonObject {
        val pair =
            JsonObject()
                .put("key", encode(key.encodeToByteArray()))
                .put("create_revision", entry.createRevision.toString())
                .put("mod_revision", entry.modRevision.toString())
                .put("version", entry.version.toString())
        if (entry.lease != 0L) pair.put("lease", entry.lease.toString())
        return if (isVersionOnly) pair else pair.put("value", encode(entry.value))
    }

    private fun message(result: JsonObject) = JsonObject().put("result", result.put("header", header())).encode() + "\n"

    private fun header() = JsonObject().put("revision", store.revision.toString())

    private fun encode(bytes: ByteArray): String = Base64.getEncoder().encodeToString(bytes)

    private fun decode(text: String): ByteArray = Base64.getDecoder().decode(text)

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
