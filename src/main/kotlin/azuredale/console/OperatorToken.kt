package azuredale.console

import azuredale.configuration.Secret
import java.security.MessageDigest

/** Compares the token of an operator's request with the one in the settings in constant time. */
internal class OperatorToken(private val expected: Secret) {
    /** Whether [authorization] is `Bearer` with the expected token. */
    fun accepts(authorization: String?): Boolean {
        val token = authorization?.removePrefix("Bearer ") ?: return false
        return acceptsToken(token)
    }

    /** Whether [token] is the expected one. */
    fun acceptsToken(token: String): Boolean = MessageDigest.isEqual(token.encodeToByteArray(), expected.bytes())
}
