@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Revision
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * Announces the document revision that the sender has.
 *
 * @property requestSentAt [DocumentRequest.sentAt] of the request that this message replies to. Shows that the reply
 *   was sent after that time, regardless of network delay.
 * @property confirmation latest confirmation known to the sender.
 */
@Serializable
public data class DocumentAnnounce(
    @CborLabel(1) val revision: Revision,
    @CborLabel(2) val requestSentAt: Long? = null,
    @CborLabel(3) val confirmation: Confirmation? = null,
) : PeerMessage

/**
 * Requests a document newer than [knownRevision], or else the receiver's revision and confirmation.
 *
 * @property sentAt time by the sender's clock in microseconds, echoed in the reply.
 */
@Serializable
public data class DocumentRequest(
    @CborLabel(1) val knownRevision: Revision,
    @CborLabel(2) val sentAt: Long? = null,
) : PeerMessage

/** Transfers a document. [body] is the stored envelope, compressed with DEFLATE. */
@Serializable
public class DocumentBody(
    @CborLabel(1) public val revision: Revision,
    @CborLabel(2) @ByteString public val body: ByteArray,
) : PeerMessage
