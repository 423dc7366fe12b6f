package azuredale.transport

import azuredale.protocol.PeerMessage

/** Why a frame or a datagram was refused. */
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
    /** The frame is authentic and complete. */
    public data class Decoded(val messages: List<PeerMessage>) : FrameResult

    /** The frame must not be used and its connection must be closed. */
    public data class Refused(
        val fault: FrameFault,
        val detail: String = "",
    ) : FrameResult
}

/** Result of encoding messages. */
public sealed interface EncodeResult {
    /**
     * Frames in sending order.
     *
     * @property oversized number of messages left out because one alone exceeds the frame bound.
     */
    public class Encoded(
        public val frames: List<ByteArray>,
        public val oversized: Int,
    ) : EncodeResult

    /** The name table of the connection is full; the connection must be replaced by a new one. */
    public data object NamesExhausted : EncodeResult
}

/** Ends decoding or encoding with [fault]; never leaves the codec. */
internal class FrameException(
    val fault: FrameFault,
    message: String,
) : IllegalArgumentException(message)

/**
 * Bounds of the frames of one connection.
 *
 * @property frameBytes bound on the length field, which counts everything after itself.
 * @property names bound on the names defined per direction; 2,900 teams and 800 servers fit four times over.
 * @property nameBytes bound on the UTF-8 length of one name.
 */
public data class FrameLimits(
    val frameBytes: Int = 2 * 1024 * 1024,
    val names: Int = 16_384,
    val nameBytes: Int = 256,
)
