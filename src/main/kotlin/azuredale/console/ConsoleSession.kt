package azuredale.console

import azuredale.configuration.Secret
import azuredale.time.Clock
import azuredale.time.Timestamp
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Issues and checks the session cookie of a signed-in operator.
 *
 * The cookie holds its expiry time and a message authentication code, keyed with the operator token. Routers share
 * no session state: any router with the same operator token in its settings accepts the cookie.
 */
internal class ConsoleSession(
    private val operatorToken: Secret,
    private val clock: Clock,
) {
    /** Creates a cookie value that is valid for [VALID_SECONDS]. */
    fun issue(): String {
        val expiry = clock().plusSeconds(VALID_SECONDS).microseconds.toString()
        return "$expiry.${authenticationCode(expiry)}"
    }

    /** Whether [cookie] was issued with the same operator token and has not expired. */
    fun accepts(cookie: String?): Boolean {
        val expiry = cookie?.substringBefore('.')?.toLongOrNull() ?: return false
        val expected = authenticationCode(expiry.toString()).encodeToByteArray()
        val isAuthentic = MessageDigest.isEqual(expected, cookie.substringAfter('.').encodeToByteArray())
        return isAuthentic && clock() < Timestamp(expiry)
    }

    private fun authenticationCode(expiry: String): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(operatorToken.bytes(), ALGORITHM))
        return Base64.getUrlEncoder().withoutPadding().encodeToString(
            mac.doFinal("console $expiry".encodeToByteArray()),
        )
    }

    companion object {
        const val COOKIE = "azuredale-session"
        const val VALID_SECONDS: Long = 8 * 3_600
        private const val ALGORITHM = "HmacSHA256"
    }
}
