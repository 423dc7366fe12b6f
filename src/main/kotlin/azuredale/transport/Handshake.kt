@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.transport

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Role of a router in the handshake of a connection. */
internal enum class HandshakeRole(val number: Int) {
    DIALER(1),
    ACCEPTOR(2),
}

/**
 * First message that each end sends on a connection.
 *
 * @property target the router that the sender expects at the other end, which detects an address that now belongs to
 *   another router.
 * @property nonce random bytes that make the frame keys of each connection different.
 */
@Serializable
internal class Hello(
    @CborLabel(1) val router: RouterId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val target: RouterId,
    @CborLabel(4) @ByteString val nonce: ByteArray,
)

/**
 * Encodes hellos, and derives the frame keys of a connection from the fleet key and both hellos.
 *
 * The authentication code of the acceptor's hello also covers the dialer's hello, which proves to the dialer that it is
 * not a replay. The dialer proves the same with its first frame, whose key depends on the acceptor's nonce.
 */
internal class Handshake(
    fleetKey: ByteArray,
    private val limits: FrameLimits,
) {
    private val interner = NameInterner()
    private val authenticator = MessageAuthenticator(fleetKey)
    private val cbor = compactCbor()

    /** Encodes [hello] with its length field. When the acceptor replies, [peerHello] is the dialer's hello. */
    fun encode(role: HandshakeRole, hello: Hello, peerHello: ByteArray = NO_HELLO): ByteArray {
        val body = cbor.encodeToByteArray(Hello.serializer(), hello)
        val content =
            ByteBuffer
                .allocate(HEADER_BYTES + body.size)
                .putInt(HEADER_BYTES - FrameCodec.LENGTH_BYTES + body.size + MessageAuthenticator.MAC_BYTES)
                .put(FrameCodec.PROTOCOL_VERSION.toByte())
                .put(role.number.toByte())
                .put(body)
                .array()
        return content + mac(content, peerHello)
    }

    /** Decodes a hello; returns null if it is malformed, not authentic, or has another version or role. */
    fun decode(role: HandshakeRole, bytes: ByteArray, peerHello: ByteArray = NO_HELLO): Hello? {
        val end = bytes.size - MessageAuthenticator.MAC_BYTES
        if (end <= HEADER_BYTES) return null
        val header = ByteBuffer.wrap(bytes)
        val hasLength = header.getInt() == bytes.size - FrameCodec.LENGTH_BYTES
        val hasVersion = header.get().toInt() == FrameCodec.PROTOCOL_VERSION
        val hasRole = header.get().toInt() == role.number
        if (!hasLength || !hasVersion || !hasRole) return null
        val mac = bytes.copyOfRange(end, bytes.size)
        if (!MessageDigest.isEqual(mac, mac(bytes.copyOf(end), peerHello))) return null
        val hello =
            runCatching {
                cbor.decodeFromByteArray(Hello.serializer(), bytes.copyOfRange(HEADER_BYTES, end))
            }.getOrNull()
        return hello?.takeIf { it.nonce.size == NONCE_BYTES }
    }

    /** Creates the frame codec for the end with [role], after both hellos were exchanged. */
    fun codec(role: HandshakeRole, dialerHello: ByteArray, acceptorHello: ByteArray): FrameCodec {
        val fromDialer = key(HandshakeRole.DIALER, dialerHello, acceptorHello)
        val fromAcceptor = key(HandshakeRole.ACCEPTOR, dialerHello, acceptorHello)
        return when (role) {
            HandshakeRole.DIALER -> FrameCodec(fromDialer, fromAcceptor, limits, interner)
            HandshakeRole.ACCEPTOR -> FrameCodec(fromAcceptor, fromDialer, limits, interner)
        }
    }

    private fun key(sender: HandshakeRole, dialerHello: ByteArray, acceptorHello: ByteArray): ByteArray =
        locked { authenticator.computeMac(KEY_LABEL, byteArrayOf(sender.number.toByte()), dialerHello, acceptorHello) }

    private fun mac(content: ByteArray, peerHello: ByteArray): ByteArray =
        locked { authenticator.computeMac(HELLO_LABEL, content, peerHello) }.copyOf(MessageAuthenticator.MAC_BYTES)

    private fun <T> locked(block: () -> T): T = synchronized(authenticator) { block() }

    companion object {
        const val NONCE_BYTES = 16

        /** Maximum size of a hello; router names are short. */
        const val MAXIMUM_BYTES = 1024
        private const val HEADER_BYTES = FrameCodec.LENGTH_BYTES + 2
        private val NO_HELLO = ByteArray(0)
        private val HELLO_LABEL = "azuredale hello".encodeToByteArray()
        private val KEY_LABEL = "azuredale frame key".encodeToByteArray()
    }
}
