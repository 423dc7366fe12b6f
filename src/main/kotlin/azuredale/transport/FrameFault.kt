package azuredale.transport

import azuredale.protocol.PeerMessage

/** Reason why a frame or a datagram was refused. */
public enum class FrameFault {
    TOO_SHORT,
    TOO_LONG,
    LENGTH_MISMATCH,
    UNKNOWN_VERSION,
    WRONG_CODE,
    WRONG_SEQUENCE,
    UNKNOWN_TYPE,
    UNKNOWN_NAME,
    TOO_MANY_NAMES,
    MALFORMED,
    HANDSHAKE,
}

/** Result of decoding one frame. */
public sealed interface FrameResult {
    /** The frame is authentic and well-formed. */
    public data class Decoded(val messages: List<PeerMessage>) : FrameResult

    /** The frame is invalid; its connection must be closed. */
    public data class Refused(
        val fault: FrameFault,
        val detail: String = "",
    ) : FrameResult
}

/** Result of encoding messages. */
public sealed interface EncodeResult {
    /**
     * The messages were encoded.
     *
     * @property frames frames in sending order.
     * @property oversized number of messages left out because each of them exceeds the maximum frame size.
     */
    public class Encoded(
        public val frames: List<ByteArray>,
        public val oversized: Int,
    ) : EncodeResult

    /** The name table of the connection is full, so a new connection is needed. */
    public data object NamesExhausted : EncodeResult
}

/** Aborts encoding or decoding because of [fault]. Caught within the codec. */
internal class FrameException(
    val fault: FrameFault,
    message: String,
) : IllegalArgumentException(message)

/**
 * Limits on the frames of one connection.
 *
 * @property frameBytes maximum value of the length field, which counts the bytes that follow it.
 * @property names maximum number of names per direction, more than four times that of 2,900 teams and 800 servers.
 * @property nameBytes maximum length of a name in UTF-8.
 */
public data class FrameLimits(
    val frameBytes: Int = 2 * 1024 * 1024,
    val names: Int = 16_384,
    val nameBytes: Int = 256,
)
