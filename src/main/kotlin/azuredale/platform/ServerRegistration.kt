package azuredale.platform

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.SoftwareVersion
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
internal object ServerRegistration {
    /** Decodes [bytes]; returns a [Malformed] with the reason if they are not a valid registration. */
    fun decode(id: ServerId, bytes: ByteArray): Result = try {
        val text = bytes.decodeToString(throwOnInvalidSequence = true)
        when {
            bytes.size > MAXIMUM_BYTES -> Malformed("${bytes.size} bytes, more than $MAXIMUM_BYTES")
            // The parser and the text of a parsed value recurse once for each level.
            JsonNesting.depth(text) > MAXIMUM_DEPTH -> Malformed("nested more than $MAXIMUM_DEPTH levels deep")
            else -> entry(id, Json.parseToJsonElement(text) as? JsonObject)
        }
    } catch (exception: SerializationException) {
        Malformed("invalid JSON: ${exception.message?.take(DETAIL_CHARACTERS)}")
    } catch (exception: CharacterCodingException) {
        Malformed("invalid UTF-8: ${exception.message}")
    }

    private fun entry(id: ServerId, fields: JsonObject?): Result {
        if (fields == null) return Malformed("not a JSON object")
        val state =
            states[fields.string("state")]
                ?: return Malformed("unknown state ${fields["state"]}".take(DETAIL_CHARACTERS))
        val address = fields.string("address")?.let { NetworkAddress.parse(it) }
        val slots = fields.long("slots")?.takeIf { it in 0..MAXIMUM_SLOTS }
        val pool = fields.string("service")
        val domain = fields.string("zone")
        val coldMilliseconds = fields.number("cold-left-ms")
        val version = fields.string("version")
        val hasRemainingFields = version != null && coldMilliseconds != null && fields.number("sequence") != null
        // Start time of the server process in Unix milliseconds.
        val startedAt = fields.long("born")
        val isComplete = address != null && slots != null && pool != null && domain != null && hasRemainingFields
        if (!isComplete ||
            ("born" in fields && startedAt == null)
        ) {
            return Malformed("missing or invalid fields: $fields".take(DETAIL_CHARACTERS))
        }
        val isCold = coldMilliseconds > 0
        return Entry(
            BackendEntry(
                id = id,
                pool = PoolId(pool),
                address = address,
                failureDomain = FailureDomain(domain),
                slots = slots.toInt(),
                state = state,
                startedAtMilliseconds = startedAt,
                isCold = isCold,
                softwareVersion = SoftwareVersion(version),
            ),
        )
    }

    sealed interface Result

    data class Entry(val entry: BackendEntry) : Result

    data class Malformed(val detail: String) : Result

    private fun JsonObject.string(name: String): String? =
        (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun JsonObject.number(name: String): Double? =
        (this[name] as? JsonPrimitive)?.takeIf { !it.isString }?.doubleOrNull

    private fun JsonObject.long(name: String): Long? =
        (this[name] as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull

    private const val DETAIL_CHARACTERS = 200

    /** Registrations are a few hundred bytes of one object. */
    private const val MAXIMUM_BYTES = 65_536
    private const val MAXIMUM_DEPTH = 64

    /** More than any server runs at once; keeps sums of slots within their type. */
    private const val MAXIMUM_SLOTS = 100_000L
    private val states = mapOf("ready" to BackendState.READY, "draining" to BackendState.DRAINING)
}
