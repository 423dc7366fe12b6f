package azuredale.console

import azuredale.configuration.Secret
import java.security.MessageDigest

/** Checks the token of an operator's request against the settings; compares in constant time against timing attacks. */
internal class OperatorToken(private val expected: Secret) {
    /** Whether [authorization], the value of the `Authorization` header, carries the expected token. */
    fun accepts(authorization: String?): Boolean {
        val token = authorization?.removePrefix("Bearer ") ?: return false
        return acceptsToken(token)
    }

    /** Whether [token] is the expected token. */
    fun acceptsToken(token: String): Boolean = MessageDigest.isEqual(token.encodeToByteArray(), expected.bytes())
}
