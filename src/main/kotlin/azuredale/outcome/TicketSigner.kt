package azuredale.outcome

import azuredale.configuration.Secret
import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Signs tickets with HMAC-SHA-256 under the fleet key and verifies them.
 *
 * The text form is the base64url encoding, without padding, of the ticket's fields and the 32-byte MAC.
 *
 * ```
 * val text = signer.sign(ticket)
 * val same = signer.verify(text) // null if the text was modified or signed with another key
 * ```
 */
public class TicketSigner(fleetKey: Secret) {
    private val key = SecretKeySpec(fleetKey.bytes(), ALGORITHM)

    /** Returns the signed text form of [ticket]. */
    public fun sign(ticket: Ticket): String {
        val fields = encode(ticket)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(fields + mac(fields))
    }

    /** Returns the ticket in [text], or null if the text is malformed or its MAC is wrong. */
    public fun verify(text: String): Ticket? {
        if (text.length > MAXIMUM_TEXT_LENGTH) return null
        val bytes =
            try {
                Base64.getUrlDecoder().decode(text)
            } catch (_: IllegalArgumentException) {
                return null
            }
        if (bytes.size <= MAC_BYTES) return null
        val fields = bytes.copyOfRange(0, bytes.size - MAC_BYTES)
        val isGenuine = MessageDigest.isEqual(mac(fields), bytes.copyOfRange(fields.size, bytes.size))
        return if (isGenuine) decode(fields) else null
    }

    private fun mac(fields: ByteArray): ByteArray = Mac.getInstance(ALGORITHM).run {
        init(key)
        // Domain separation: peer frames use the same key, and their MACs must not be valid for tickets.
        update(DOMAIN_SEPARATOR)
        doFinal(fields)
    }

    private fun encode(ticket: Ticket): ByteArray {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).run {
            writeByte(VERSION)
            writeUTF(ticket.target.name)
            writeLong(ticket.targetIncarnation.value)
            writeUTF(ticket.number.issuer.name)
            writeLong(ticket.number.issuerIncarnation.value)
            writeLong(ticket.number.number)
            writeUTF(ticket.team.name)
            writeLong(ticket.deadline.microseconds)
        }
        return bytes.toByteArray()
    }

    private fun decode(fields: ByteArray): Ticket? = try {
        DataInputStream(ByteArrayInputStream(fields)).run {
            if (readByte().toInt() == VERSION) readTicket() else null
        }
    } catch (_: IOException) {
        null
    }

    private fun DataInputStream.readTicket(): Ticket {
        val target = RouterId(readUTF())
        val targetIncarnation = Incarnation(readLong())
        val number = TicketNumber(RouterId(readUTF()), Incarnation(readLong()), readLong())
        return Ticket(target, targetIncarnation, number, TeamId(readUTF()), Timestamp(readLong()))
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val MAC_BYTES = 32
        const val VERSION = 1
        const val MAXIMUM_TEXT_LENGTH = 1_024
        val DOMAIN_SEPARATOR = "azuredale ticket".encodeToByteArray()
    }
}
