@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.protocol

import azuredale.identity.Revision
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** Says which revision of the document the sender holds. */
@Serializable
public data class DocumentAnnounce(
    @CborLabel(1) val revision: Revision,
) : PeerMessage

/** Asks for a document newer than [known]. */
@Serializable
public data class DocumentRequest(
    @CborLabel(1) val known: Revision,
) : PeerMessage

/** A document; [body] is the stored envelope compressed with DEFLATE. */
@Serializable
public class DocumentBody(
    @CborLabel(1) public val revision: Revision,
    @CborLabel(2) @ByteString public val body: ByteArray,
) : PeerMessage
