package azuredale.platform

import azuredale.store.KeyVersion
import azuredale.store.LeaseId
import azuredale.store.StoredValue
import azuredale.store.WriteResult
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.util.Base64

/**
 * Bodies of the etcd version 3 JSON gateway.
 *
 * Keys and values are base64. The gateway prints 64-bit integers as strings and omits fields at their default.
 */
internal object EtcdMessages {
    fun range(key: String, isVersionOnly: Boolean): JsonObject {
        val body = JsonObject().put("key", encode(key.encodeToByteArray()))
        return if (isVersionOnly) body.put("keys_only", true) else body
    }

    /** Puts the value when the key's revision is [expected], otherwise reads the key in the same call. */
    fun transaction(key: String, value: ByteArray, expected: KeyVersion, lease: LeaseId?): JsonObject {
        val put = JsonObject().put("key", encode(key.encodeToByteArray())).put("value", encode(value))
        if (lease != null) put.put("lease", lease.value.toString())
        val compare =
            JsonObject()
                .put("key", encode(key.encodeToByteArray()))
                .put("result", "EQUAL")
                .put("target", "MOD")
                .put("mod_revision", expected.value.toString())
        return JsonObject()
            .put("compare", JsonArray().add(compare))
            .put("success", JsonArray().add(JsonObject().put("request_put", put)))
            .put("failure", JsonArray().add(JsonObject().put("request_range", range(key, isVersionOnly = false))))
    }

    fun grant(seconds: Long): JsonObject = JsonObject().put("TTL", seconds.toString())

    fun lease(lease: LeaseId): JsonObject = JsonObject().put("ID", lease.value.toString())

    fun watch(key: String): JsonObject =
        JsonObject().put("create_request", JsonObject().put("key", encode(key.encodeToByteArray())))

    /** The stored value of a key-value object. */
    fun stored(pair: JsonObject): StoredValue =
        StoredValue(decode(pair.getString("value").orEmpty()), KeyVersion(long(pair, "mod_revision")))

    /** The value in a range answer; null when the key does not exist. */
    fun pair(range: JsonObject): StoredValue? =
        range.getJsonArray("kvs")?.takeIf { !it.isEmpty }?.let { stored(it.getJsonObject(0)) }

    /** The result in a transaction's answer. */
    fun written(answer: JsonObject): WriteResult {
        val response = answer.getJsonArray("responses").getJsonObject(0)
        val isWritten = answer.getBoolean("succeeded", false)
        if (!isWritten) return WriteResult.Conflict(pair(response.getJsonObject("response_range")))
        val header = response.getJsonObject("response_put").getJsonObject("header") ?: answer.getJsonObject("header")
        return WriteResult.Written(KeyVersion(long(header, "revision")))
    }

    /** A 64-bit integer, given as a string or a number; zero when omitted. */
    fun long(body: JsonObject, field: String): Long = when (val value = body.getValue(field)) {
        null -> 0
        is Number -> value.toLong()
        else -> value.toString().toLong()
    }

    private fun encode(bytes: ByteArray): String = Base64.getEncoder().encodeToString(bytes)

    private fun decode(text: String): ByteArray = Base64.getDecoder().decode(text)
}
