package azuredale.transport

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Computes and verifies HMAC-SHA-256 authentication codes with one key. Not thread-safe. */
internal class MessageAuthenticator(key: ByteArray) {
    private val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }

    /** Returns the full-length code of the concatenated [parts]. */
    fun computeMac(vararg parts: ByteArray): ByteArray {
        parts.forEach(mac::update)
        return mac.doFinal()
    }

    /** Writes the truncated code of the first [end] bytes of [buffer] at position [end]. */
    fun appendMac(buffer: ByteArray, end: Int) {
        mac.update(buffer, 0, end)
        mac.doFinal().copyInto(buffer, end, 0, MAC_BYTES)
    }

    /** Whether [buffer] ends with the truncated code of all preceding bytes. Compares in constant time. */
    fun hasValidMac(buffer: ByteArray): Boolean {
        val end = buffer.size - MAC_BYTES
        mac.update(buffer, 0, end)
        return MessageDigest.isEqual(mac.doFinal().copyOf(MAC_BYTES), buffer.copyOfRange(end, buffer.size))
    }

    companion object {
        const val MAC_BYTES = 16
        private const val ALGORITHM = "HmacSHA256"
    }
}
