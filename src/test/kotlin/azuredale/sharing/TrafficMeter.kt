@file:OptIn(
    kotlinx.serialization.ExperimentalSerializationApi::class,
    kotlinx.serialization.InternalSerializationApi::class,
)

package azuredale.sharing

import azuredale.identity.AdapterName
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.PeerMessage
import azuredale.time.Timestamp
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.modules.SerializersModule
import kotlinx.serialization.modules.contextual
import kotlinx.serialization.serializer

/** Counts encoded message bytes as in design section 3.2; messages sent within 5 ms share a frame. */
internal class TrafficMeter {
    /** Encodes a name as the number that it has on a connection. */
    private class NumberedNameSerializer<T : Any> : KSerializer<T> {
        override val descriptor = PrimitiveSerialDescriptor("NumberedName", PrimitiveKind.INT)

        override fun serialize(encoder: Encoder, value: T): Unit = encoder.encodeInt(value.hashCode() and 0x3FF)

        override fun deserialize(decoder: Decoder): T = error("deserialization is not supported")
    }

    private val cbor =
        Cbor {
            preferCborLabelsOverNames = true
            encodeDefaults = false
            serializersModule =
                SerializersModule {
                    contextual(NumberedNameSerializer<TeamId>())
                    contextual(NumberedNameSerializer<PoolId>())
                    contextual(NumberedNameSerializer<ServerId>())
                    contextual(NumberedNameSerializer<ModelVersion>())
                    contextual(NumberedNameSerializer<AdapterName>())
                }
        }
    private val frames = HashMap<Pair<RouterId, RouterId>, Timestamp>()
    val bytesOfNode = HashMap<RouterId, Long>()
    val bytesOfKind = LinkedHashMap<String, Long>()
    var bytes = 0L
        private set

    fun sent(from: RouterId, to: RouterId, message: PeerMessage, now: Timestamp) {
        if (from == to) return
        val size = TYPE_BYTES + encode(message).size
        val startedAt = frames[from to to]
        val isNewFrame = startedAt == null || now > startedAt.plusMilliseconds(5)
        if (isNewFrame) frames[from to to] = now
        val count = size + if (isNewFrame) FRAME_BYTES else 0
        bytes += count
        bytesOfKind.merge(message::class.simpleName!!, count.toLong(), Long::plus)
        listOf(from, to).forEach { bytesOfNode.merge(it, count.toLong(), Long::plus) }
    }

    @Suppress("UNCHECKED_CAST")
    private fun encode(message: PeerMessage): ByteArray =
        cbor.encodeToByteArray(message::class.serializer() as KSerializer<PeerMessage>, message)

    private companion object {
        const val TYPE_BYTES = 2

        /** Length, version, sequence number, array header and authentication code. */
        const val FRAME_BYTES = 45
    }
}
