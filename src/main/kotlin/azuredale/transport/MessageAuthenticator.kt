package azuredale.transport

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Computes and verifies HMAC-SHA-256 authentication codes with one key. Not thread-safe. */
internal class MessageAuthenticator(key: ByteArray) {
    private val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }

    /** Returns the full-length code of the concatenated [parts]. */
    fun full(vararg parts: ByteArray): ByteArray {
        parts.forEach(mac::update)
        return mac.doFinal()
    }

    /** Writes the truncated code of the first [end] bytes of [buffer] at position [end]. */
    fun seal(buffer: ByteArray, end: Int) {
        mac.update(buffer, 0, end)
        mac.doFinal().copyInto(buffer, end, 0, CODE_BYTES)
    }

    /** Whether [buffer] ends with the truncated code of all preceding bytes. Compares in constant time. */
    fun isSealed(buffer: ByteArray): Boolean {
        val end = buffer.size - CODE_BYTES
        mac.update(buffer, 0, end)
        return MessageDigest.isEqual(mac.doFinal().copyOf(CODE_BYTES), buffer.copyOfRange(end, buffer.size))
    }

    companion object {
        const val CODE_BYTES = 16
        private const val ALGORITHM = "HmacSHA256"
    }
}
