package azuredale.transport

import azuredale.protocol.BurnCounts
import azuredale.protocol.Demand
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.RegisterRequest
import azuredale.protocol.Settle
import azuredale.protocol.Withdraw
import kotlinx.serialization.KSerializer
import kotlin.reflect.KClass

/**
 * Types of messages between routers.
 *
 * @property number identifies the type in a frame. The number of a removed type must not be reused.
 */
internal enum class MessageType(
    val number: Int,
    val messageClass: KClass<out PeerMessage>,
    private val typedSerializer: KSerializer<out PeerMessage>,
) {
    REGISTER(1, Register::class, Register.serializer()),
    REGISTER_REQUEST(2, RegisterRequest::class, RegisterRequest.serializer()),
    DEMAND(3, Demand::class, Demand.serializer()),
    WITHDRAW(4, Withdraw::class, Withdraw.serializer()),
    GRANT(5, Grant::class, Grant.serializer()),
    PROGRESS(6, Progress::class, Progress.serializer()),
    SETTLE(7, Settle::class, Settle.serializer()),
    DOCUMENT_ANNOUNCE(8, DocumentAnnounce::class, DocumentAnnounce.serializer()),
    DOCUMENT_REQUEST(9, DocumentRequest::class, DocumentRequest.serializer()),
    DOCUMENT_BODY(10, DocumentBody::class, DocumentBody.serializer()),
    BURN_COUNTS(11, BurnCounts::class, BurnCounts.serializer()),
    ;

    /** Serializer of the message. The cast is safe because [of] selects the type by the class of the message. */
    @Suppress("UNCHECKED_CAST")
    val serializer: KSerializer<PeerMessage> get() = typedSerializer as KSerializer<PeerMessage>

    companion object {
        private val byNumber = entries.associateBy { it.number }
        private val byClass = entries.associateBy { it.messageClass }

        /** Returns the type with [number], or null if there is none. */
        fun ofNumber(number: Int): MessageType? = byNumber[number]

        /** Returns the type of [message]. */
        fun of(message: PeerMessage): MessageType =
            checkNotNull(byClass[message::class]) { "${message::class} has no entry in MessageType" }
    }
}
