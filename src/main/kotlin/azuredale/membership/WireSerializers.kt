package azuredale.membership

import azuredale.identity.NetworkAddress
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes an enum as the ordinal of its entry, which takes one byte. */
internal abstract class OrdinalSerializer<E : Enum<E>>(
    name: String,
    private val entries: List<E>,
) : KSerializer<E> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor(name, PrimitiveKind.INT)

    override fun serialize(encoder: Encoder, value: E): Unit = encoder.encodeInt(value.ordinal)

    override fun deserialize(decoder: Decoder): E {
        val position = decoder.decodeInt()
        return entries.getOrNull(position) ?: throw SerializationException("enum ordinal $position is out of range")
    }
}

/** Serializes an IPv4 address and port as one 64-bit number. */
internal object AddressSerializer : KSerializer<NetworkAddress> {
    private const val PORT_BITS = 16
    private const val PORT_MASK = 0xFFFFL
    private const val OCTET_BITS = 8
    private const val OCTET_MASK = 0xFFL
    private const val OCTETS = 4

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("azuredale.address", PrimitiveKind.LONG)

    override fun serialize(encoder: Encoder, value: NetworkAddress) {
        val octets = value.host.split('.').mapNotNull { it.toLongOrNull() }
        if (octets.size != OCTETS) throw SerializationException("host ${value.host} is not an IPv4 address")
        val host = octets.fold(0L) { number, octet -> (number shl OCTET_BITS) or (octet and OCTET_MASK) }
        encoder.encodeLong((host shl PORT_BITS) or value.port.toLong())
    }

    override fun deserialize(decoder: Decoder): NetworkAddress {
        val number = decoder.decodeLong()
        val host =
            (OCTETS - 1 downTo 0).joinToString(".") { position ->
                ((number shr (PORT_BITS + position * OCTET_BITS)) and OCTET_MASK).toString()
            }
        return NetworkAddress(host, (number and PORT_MASK).toInt())
    }
}
