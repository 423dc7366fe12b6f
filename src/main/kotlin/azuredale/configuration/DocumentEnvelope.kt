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
 * The value stored in the key-value service: a document with its revision and submission ids.
 *
 * @property submission id chosen by the submitter. After a lost reply it shows whether this submission was accepted.
 * @property earlier ids of the preceding submissions, newest first. A submitter whose reply was lost can find its
 *   submission here after other submissions have been accepted.
 */
@Serializable
internal data class DocumentEnvelope(
    @SerialName("revision") val revision: Revision,
    @SerialName("submission") val submission: String,
    @SerialName("earlier") val earlier: List<String> = emptyList(),
    @SerialName("text") val text: String,
) {
    fun encode(): ByteArray = Json.encodeToString(this).encodeToByteArray()

    /** The parsed document with this envelope's revision, or null if its text is invalid. */
    fun accepted(): AcceptedDocument? = when (val parsed = DocumentParser.parse(text)) {
        is ParseResult.Valid -> AcceptedDocument(revision, text, parsed.value, submission)
        is ParseResult.Invalid -> null
    }

    /** Id of the submission that was accepted as [wanted], or null if [earlier] does not include it. */
    fun submissionOf(wanted: Revision): String? =
        if (wanted == revision) submission else earlier.getOrNull((revision.value - wanted.value - 1).toInt())

    companion object {
        /** Key of the document in the key-value service. */
        const val KEY = "/azuredale/document"

        /** At 1,200 changes per day, 16 submissions span more time than the timeout of a submission. */
        const val MAXIMUM_EARLIER_SUBMISSIONS = 16

        /** The key-value service holds values up to 1 MB. */
        const val MAXIMUM_BYTES = 1_000_000
        private const val CHUNK_BYTES = 16_384

        /** Decodes [bytes], or returns null if they are malformed. */
        fun decode(bytes: ByteArray): DocumentEnvelope? = try {
            Json.decodeFromString<DocumentEnvelope>(bytes.decodeToString()).takeIf { it.revision > Revision.NONE }
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

        /** Compresses an encoded envelope for transfer between routers. */
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

        /** Reverses [compress]. Returns null if [bytes] are malformed or expand to more than [MAXIMUM_BYTES]. */
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
