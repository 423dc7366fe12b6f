@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.resumption

import azuredale.transport.CborLengths
import azuredale.transport.compactCbor
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A stream, by the hash of the request that began it, and the software version at which it began. */
@Serializable
internal class OriginEntry(
    @CborLabel(1) val stream: Long,
    @CborLabel(2) val version: String,
)

/**
 * Message between routers about the origins of streams.
 *
 * @property origins what the sender knows.
 * @property question a stream whose origin the sender asks for, null if it asks for none.
 * @property unknown a stream that the receiver asked for and the sender does not know, null if there is none.
 */
@Serializable
internal class OriginMessage(
    @CborLabel(1) val origins: List<OriginEntry> = emptyList(),
    @CborLabel(2) val question: Long? = null,
    @CborLabel(3) val unknown: Long? = null,
)

/** Encodes and decodes datagrams with an [OriginMessage]; no other datagrams begin with the same byte. */
internal class OriginCodec {
    private val cbor = compactCbor()

    /** Encodes [message]. */
    fun encode(message: OriginMessage): ByteArray =
        byteArrayOf(PREFIX) + cbor.encodeToByteArray(OriginMessage.serializer(), message)

    /** Decodes a datagram that [isOriginMessage]; returns null for invalid input and never throws. */
    fun decode(bytes: ByteArray): OriginMessage? = try {
        val body = bytes.copyOfRange(1, bytes.size)
        require(CborLengths.areValid(body)) { "CBOR item extends past the end of the datagram" }
        val message = cbor.decodeFromByteArray(OriginMessage.serializer(), body)
        require(message.origins.all { it.version.length <= MAXIMUM_VERSION_CHARACTERS }) { "version is too long" }
        message
    } catch (_: RuntimeException) {
        null
    }

    companion object {
        /** CBOR integer 1; other datagrams are CBOR maps. */
        private const val PREFIX: Byte = 1
        private const val MAXIMUM_VERSION_CHARACTERS = 64

        /** Whether [bytes] are a message about origins. */
        fun isOriginMessage(bytes: ByteArray): Boolean = bytes.firstOrNull() == PREFIX
    }
}
