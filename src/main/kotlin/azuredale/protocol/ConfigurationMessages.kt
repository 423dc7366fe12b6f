@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Revision
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * Says which revision of the document the sender holds.
 *
 * @property echo [DocumentRequest.sentAt] of the request that this answers; the answer was sent after that time,
 *   however long it was under way.
 * @property confirmation newest confirmation known to the sender.
 */
@Serializable
public data class DocumentAnnounce(
    @CborLabel(1) val revision: Revision,
    @CborLabel(2) val echo: Long? = null,
    @CborLabel(3) val confirmation: Confirmation? = null,
) : PeerMessage

/**
 * Asks for a document newer than [known], or for the revision and confirmation of the receiver.
 *
 * @property sentAt microseconds of the sender's own clock, returned in the answer.
 */
@Serializable
public data class DocumentRequest(
    @CborLabel(1) val known: Revision,
    @CborLabel(2) val sentAt: Long? = null,
) : PeerMessage

/** A document; [body] is the stored envelope compressed with DEFLATE. */
@Serializable
public class DocumentBody(
    @CborLabel(1) public val revision: Revision,
    @CborLabel(2) @ByteString public val body: ByteArray,
) : PeerMessage
