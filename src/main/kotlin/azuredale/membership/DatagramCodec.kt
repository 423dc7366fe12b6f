@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.membership

import azuredale.protocol.ProbeMessage
import azuredale.transport.CborLengths
import azuredale.transport.FrameFault
import azuredale.transport.MessageAuthenticator
import azuredale.transport.compactCbor

/** Result of decoding one datagram. */
public sealed interface DatagramResult {
    /** The datagram is authentic and well-formed. */
    public data class Decoded(val message: ProbeMessage) : DatagramResult

    /** The datagram is invalid and must be ignored. */
    public data class Refused(val fault: FrameFault) : DatagramResult
}

/**
 * Encodes and decodes datagrams of the failure detector. Not thread-safe.
 *
 * A datagram is a version byte, a CBOR body and a truncated HMAC-SHA-256 over both.
 */
public class DatagramCodec(fleetKey: ByteArray) {
    private val authenticator = MessageAuthenticator(KEY_LABEL + fleetKey)
    private val cbor = compactCbor()

    /** Encodes [message] as one datagram. */
    public fun encode(message: ProbeMessage): ByteArray {
        val body = cbor.encodeToByteArray(ProbeMessage.serializer(), message)
        val end = 1 + body.size
        val datagram = ByteArray(end + MessageAuthenticator.MAC_BYTES)
        datagram[0] = VERSION
        body.copyInto(datagram, 1)
        authenticator.appendMac(datagram, end)
        return datagram
    }

    /** Decodes [datagram]. Returns [DatagramResult.Refused] for invalid input and never throws. */
    public fun decode(datagram: ByteArray): DatagramResult {
        val end = datagram.size - MessageAuthenticator.MAC_BYTES
        if (end < 2) return DatagramResult.Refused(FrameFault.TOO_SHORT)
        if (datagram.size > MAXIMUM_BYTES) return DatagramResult.Refused(FrameFault.TOO_LONG)
        if (datagram[0] != VERSION) return DatagramResult.Refused(FrameFault.UNKNOWN_VERSION)
        if (!authenticator.hasValidMac(datagram)) return DatagramResult.Refused(FrameFault.WRONG_CODE)
        return decodeBody(datagram.copyOfRange(1, end))
    }

    private fun decodeBody(body: ByteArray): DatagramResult = try {
        require(CborLengths.areValid(body)) { "CBOR item extends past the end of the datagram" }
        DatagramResult.Decoded(cbor.decodeFromByteArray(ProbeMessage.serializer(), body))
    } catch (_: RuntimeException) {
        DatagramResult.Refused(FrameFault.MALFORMED)
    }

    public companion object {
        /** Maximum size of a datagram that is decoded. Senders stay below 1,200 bytes. */
        public const val MAXIMUM_BYTES: Int = 1_472
        private const val VERSION: Byte = 1

        // Separates datagram keys from handshake keys, since both are derived from the same fleet key.
        private val KEY_LABEL = "azuredale datagram".encodeToByteArray()
    }
}
