package azuredale.identity

import kotlinx.serialization.Serializable

/** An IP address with a TCP or UDP port. */
@Serializable
public data class NetworkAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAXIMUM_PORT = 65_535
        private val ipv4Pattern = Regex("""\d{1,3}(\.\d{1,3}){3}""")
        private const val MAXIMUM_OCTET = 255

        /** Parses `host:port` with an IPv4 address as host; returns null when [text] does not have this form. */
        public fun parse(text: String): NetworkAddress? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            val isIpv4 = ipv4Pattern.matches(host) && host.split('.').all { it.toInt() <= MAXIMUM_OCTET }
            return if (isIpv4 && port in 1..MAXIMUM_PORT) NetworkAddress(host, port) else null
        }
    }
}
