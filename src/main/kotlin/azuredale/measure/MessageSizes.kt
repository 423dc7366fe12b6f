package azuredale.measure

import azuredale.identity.AdapterName
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.BurnCounts
import azuredale.protocol.Demand
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.ProbeMessage
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.RegisterRequest
import azuredale.protocol.Settle
import azuredale.protocol.Withdraw
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.contextual

/**
 * Sizes of messages in the encoding of section 3.2 of the design page: CBOR with integer labels and names as numbers.
 *
 * Stands in until the transport's own codec is passed to [runMeasure]; the definitions of names, sent once per
 * connection, are not counted.
 */
@OptIn(ExperimentalSerializationApi::class)
internal object MessageSizes {
    private class NumberedName<T : Any>(name: String) : KSerializer<T> {
        private val numbers = HashMap<T, Int>()
        override val descriptor = PrimitiveSerialDescriptor("azuredale.measure.$name", PrimitiveKind.INT)

        override fun serialize(encoder: Encoder, value: T) =
            encoder.encodeInt(synchronized(numbers) { numbers.getOrPut(value) { numbers.size } })

        override fun deserialize(decoder: Decoder): T = error("sizes are only computed for sending")
    }

    private val cbor =
        Cbor {
            preferCborLabelsOverNames = true
            encodeDefaults = false
            serializersModule =
                SerializersModule {
                    contextual<TeamId>(NumberedName("team"))
                    contextual<PoolId>(NumberedName("pool"))
                    contextual<ServerId>(NumberedName("server"))
                    contextual<ModelVersion>(NumberedName("modelVersion"))
                    contextual<AdapterName>(NumberedName("adapter"))
                }
        }

    /** Bytes of the type number in front of each message. */
    private const val TYPE_BYTES = 2

    /** Version and truncated authentication code of a datagram. */
    private const val DATAGRAM_OVERHEAD = 33

    fun ofMessage(message: PeerMessage): Int = TYPE_BYTES +
        when (message) {
            is Register -> encoded(Register.serializer(), message)
            is RegisterRequest -> encoded(RegisterRequest.serializer(), message)
            is Demand -> encoded(Demand.serializer(), message)
            is Withdraw -> encoded(Withdraw.serializer(), message)
            is Grant -> encoded(Grant.serializer(), message)
            is Progress -> encoded(Progress.serializer(), message)
            is Settle -> encoded(Settle.serializer(), message)
            is DocumentAnnounce -> encoded(DocumentAnnounce.serializer(), message)
            is DocumentRequest -> encoded(DocumentRequest.serializer(), message)
            is DocumentBody -> encoded(DocumentBody.serializer(), message)
            is BurnCounts -> encoded(BurnCounts.serializer(), message)
        }

    fun ofDatagram(message: ProbeMessage): Int = DATAGRAM_OVERHEAD + encoded(ProbeMessage.serializer(), message)

    private fun <T> encoded(serializer: KSerializer<T>, message: T) = cbor.encodeToByteArray(serializer, message).size
}
