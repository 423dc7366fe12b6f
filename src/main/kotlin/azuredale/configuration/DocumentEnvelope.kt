package azuredale.configuration

import azuredale.identity.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * The value stored in the key-value service.
 *
 * @property submission id chosen by the submitter; tells a lost reply from a lost race.
 * @property earlier ids of the submissions before this one, the newest first, so that a submitter whose reply was lost
 *   still finds its own after another submission has followed.
 */
@Serializable
internal data class DocumentEnvelope(
    @SerialName("revision") val revision: Revision,
    @SerialName("submission") val submission: String,
    @SerialName("earlier") val earlier: List<String> = emptyList(),
    @SerialName("text") val text: String,
) {
    fun encode(): ByteArray = Json.encodeToString(this).encodeToByteArray()

    /** The document with this envelope's revision, or null when its text has a fault. */
    fun accepted(): AcceptedDocument? = when (val parsed = DocumentParser.parse(text)) {
        is Parsed.Valid -> AcceptedDocument(revision, text, parsed.value, submission)
        is Parsed.Invalid -> null
    }

    /** The submission that was accepted as [wanted], or null when this envelope does not reach back to it. */
    fun submissionOf(wanted: Revision): String? =
        if (wanted == revision) submission else earlier.getOrNull((revision.value - wanted.value - 1).toInt())

    companion object {
        /** Key of the document in the key-value service. */
        const val KEY = "/azuredale/document"

        /** At 1,200 changes per day, sixteen submissions cover more than the deadline of any submission. */
        const val MAXIMUM_EARLIER = 16

        /** The key-value service holds values up to 1 MB. */
        const val MAXIMUM_BYTES = 1_000_000
        private const val CHUNK_BYTES = 16_384

        /** The envelope in [bytes], or null when they are malformed. */
        fun decode(bytes: ByteArray): DocumentEnvelope? = try {
            Json.decodeFromString<DocumentEnvelope>(bytes.decodeToString()).takeIf { it.revision > Revision.NONE }
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

        /** The form in which routers send envelopes to each other. */
        fun compress(bytes: ByteArray): ByteArray {
            val deflater = Deflater()
            try {
                deflater.setInput(bytes)
                deflater.finish()
                val output = ByteArrayOutputStream()
                val chunk = ByteArray(CHUNK_BYTES)
                while (!deflater.finished()) output.write(chunk, 0, deflater.deflate(chunk))
                return output.toByteArray()
            } finally {
                deflater.end()
            }
        }

        /** Reverses [compress]; null when [bytes] are malformed or hold more than [MAXIMUM_BYTES]. */
        fun decompress(bytes: ByteArray): ByteArray? {
            val inflater = Inflater()
            try {
                inflater.setInput(bytes)
                val output = ByteArrayOutputStream()
                val chunk = ByteArray(CHUNK_BYTES)
                while (!inflater.finished() && output.size() <= MAXIMUM_BYTES) {
                    val count = inflater.inflate(chunk)
                    if (count == 0) break
                    output.write(chunk, 0, count)
                }
                return output.toByteArray().takeIf { inflater.finished() && it.size <= MAXIMUM_BYTES }
            } catch (_: DataFormatException) {
                return null
            } finally {
                inflater.end()
            }
        }
    }
}
