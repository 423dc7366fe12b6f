@file:OptIn(ExperimentalSerializationApi::class)

package azuredale.transport

import azuredale.identity.AdapterName
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.PeerMessage
import kotlinx.serialization.Contextual
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.buildSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.modules.EmptySerializersModule
import kotlinx.serialization.modules.SerializersModule

/** CBOR configuration for frames and datagrams: integer labels, definite lengths, default values omitted. */
internal fun compactCbor(module: SerializersModule = EmptySerializersModule()): Cbor = Cbor {
    preferCborLabelsOverNames = true
    useDefiniteLengthEncoding = true
    encodeDefaults = false
    ignoreUnknownKeys = false
    encodeKeyTags = false
    encodeValueTags = false
    encodeObjectTags = false
    verifyKeyTags = false
    verifyValueTags = false
    verifyObjectTags = false
    serializersModule = module
}

/** Body of a frame: the names that it defines, followed by messages that may use them. */
@Serializable
@CborArray
internal class FrameBody(
    @Contextual val names: DefinedNames,
    val messages: List<
        @Contextual
        PeerMessage,
    >,
)

/** Names defined by a frame. Decoding them adds them to the name table of the connection. */
internal class DefinedNames(val names: List<String>)

/** CBOR for one direction of a connection. Names are encoded as their numbers in [table]. */
internal fun frameCbor(table: NameTable): Cbor = compactCbor(
    SerializersModule {
        contextual(TeamId::class, NameSerializer("team", table, ::TeamId, TeamId::name))
        contextual(PoolId::class, NameSerializer("pool", table, ::PoolId, PoolId::name))
        contextual(ServerId::class, NameSerializer("server", table, ::ServerId, ServerId::name))
        contextual(ModelVersion::class, NameSerializer("modelVersion", table, ::ModelVersion, ModelVersion::name))
        contextual(AdapterName::class, NameSerializer("adapter", table, ::AdapterName, AdapterName::name))
        contextual(DefinedNames::class, DefinedNamesSerializer(table))
        contextual(PeerMessage::class, PeerMessageSerializer)
    },
)

private class NameSerializer<T : Any>(
    label: String,
    private val table: NameTable,
    private val wrap: (String) -> T,
    private val unwrap: (T) -> String,
) : KSerializer<T> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("azuredale.$label", PrimitiveKind.INT)

    override fun serialize(encoder: Encoder, value: T): Unit = encoder.encodeInt(table.numberOf(unwrap(value)))

    override fun deserialize(decoder: Decoder): T = wrap(table.nameOf(decoder.decodeInt()))
}

private class DefinedNamesSerializer(private val table: NameTable) : KSerializer<DefinedNames> {
    private val list = ListSerializer(String.serializer())
    override val descriptor: SerialDescriptor = list.descriptor

    override fun serialize(encoder: Encoder, value: DefinedNames): Unit = list.serialize(encoder, value.names)

    override fun deserialize(decoder: Decoder): DefinedNames =
        DefinedNames(list.deserialize(decoder).onEach(table::define))
}

/** Serializes a message as an array of its type number and its content. */
internal object PeerMessageSerializer : KSerializer<PeerMessage> {
    @OptIn(kotlinx.serialization.InternalSerializationApi::class)
    override val descriptor: SerialDescriptor =
        buildSerialDescriptor("azuredale.PeerMessage", StructureKind.LIST) {
            element("type", Int.serializer().descriptor)
            element("content", buildSerialDescriptor("azuredale.PeerMessageContent", StructureKind.MAP))
        }

    override fun serialize(encoder: Encoder, value: PeerMessage) {
        val type = MessageType.of(value)
        val array = encoder.beginCollection(descriptor, 2)
        array.encodeIntElement(descriptor, 0, type.number)
        array.encodeSerializableElement(descriptor, 1, type.serializer, value)
        array.endStructure(descriptor)
    }

    override fun deserialize(decoder: Decoder): PeerMessage {
        val array = decoder.beginStructure(descriptor)
        array.decodeElementIndex(descriptor)
        val number = array.decodeIntElement(descriptor, 0)
        val type = MessageType.ofNumber(number) ?: throw FrameException(FrameFault.UNKNOWN_TYPE, "unknown type $number")
        array.decodeElementIndex(descriptor)
        val message = array.decodeSerializableElement(descriptor, 1, type.serializer)
        array.endStructure(descriptor)
        return message
    }
}
