package azuredale.platform

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Decodes a backend server's registration from the store.
 *
 * Other processes may write arbitrary data under these keys, so the type of each field is checked. Generated decoders
 * are not used because they accept a number in quotes.
 */
internal object ServerMessage {
    /** Decodes [bytes]; returns a [Malformed] with the reason if they are not a valid registration. */
    fun decode(id: ServerId, bytes: ByteArray): Result = try {
        entry(id, Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true)) as? JsonObject)
    } catch (exception: SerializationException) {
        Malformed("invalid JSON: ${exception.message?.take(DETAIL_CHARACTERS)}")
    } catch (exception: CharacterCodingException) {
        Malformed("invalid UTF-8: ${exception.message}")
    }

    private fun entry(id: ServerId, fields: JsonObject?): Result {
        if (fields == null) return Malformed("not a JSON object")
        val state = states[fields.text("state")] ?: return Malformed("unknown state ${fields["state"]}")
        val address = fields.text("address")?.let { NetworkAddress.parse(it) }
        val slots = fields.whole("slots")?.takeIf { it in 0..Int.MAX_VALUE }
        val pool = fields.text("service")
        val domain = fields.text("zone")
        val hasRest = fields.text("version") != null && fields.number("cold-left-ms") && fields.number("sequence")
        // Start time of the server process in Unix milliseconds.
        val born = fields.whole("born")
        val isComplete = address != null && slots != null && pool != null && domain != null && hasRest
        if (!isComplete ||
            ("born" in fields && born == null)
        ) {
            return Malformed("missing or invalid fields: $fields".take(DETAIL_CHARACTERS))
        }
        return Entry(BackendEntry(id, PoolId(pool), address, FailureDomain(domain), slots.toInt(), state, born))
    }

    sealed interface Result

    data class Entry(val entry: BackendEntry) : Result

    data class Malformed(val detail: String) : Result

    private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun JsonObject.number(name: String): Boolean =
        (this[name] as? JsonPrimitive)?.takeIf { !it.isString }?.doubleOrNull != null

    private fun JsonObject.whole(name: String): Long? =
        (this[name] as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull

    private const val DETAIL_CHARACTERS = 200
    private val states = mapOf("ready" to BackendState.READY, "draining" to BackendState.DRAINING)
}
