package azuredale.configuration

import azuredale.identity.NetworkAddress

/** Parsers for the values of keys. Each returns null if the text is invalid. */
internal object ValueParsers {
    const val NAME_ALLOWED = "1 to 64 letters, digits, dots, underscores and hyphens, first a letter or digit"
    const val ADDRESS_ALLOWED = "IPv4 number and port, such as 10.0.0.1:7000, port 1 to 65535"
    const val ADDRESSES_ALLOWED = "1 to 1024 addresses separated by commas, each an IPv4 number and port"
    const val VERSION_ALLOWED = "model and version joined by @, such as llama@3"
    const val MAXIMUM_ADDRESSES = 1_024
    val name = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    val modelVersion = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}@[A-Za-z0-9][A-Za-z0-9._-]{0,31}")
    private val amount = Regex("""(\d{1,12})\s*([A-Za-z]+)""")
    private val decimal = Regex("""\d{1,20}(\.\d{1,40})?""")
    private val durationUnits = mapOf("ms" to 1L, "s" to 1_000L, "min" to 60_000L, "h" to 3_600_000L)
    private val sizeUnits = mapOf("B" to 1L, "KiB" to 1_024L, "MiB" to 1_048_576L)

    fun name(text: String): String? = text.takeIf(name::matches)

    fun integer(text: String, range: IntRange): Int? = text.toIntOrNull()?.takeIf { it in range }

    fun number(text: String, range: ClosedFloatingPointRange<Double>): Double? =
        text.takeIf(decimal::matches)?.toDoubleOrNull()?.takeIf { it in range }

    /** Parses a duration such as `300 s` to milliseconds. */
    fun duration(text: String, range: LongRange): Long? = quantity(text, durationUnits)?.takeIf { it in range }

    /** Parses a size such as `4 MiB` to bytes. */
    fun size(text: String, range: LongRange): Long? = quantity(text, sizeUnits)?.takeIf { it in range }

    fun yesOrNo(text: String): Boolean? = when (text) {
        "yes" -> true
        "no" -> false
        else -> null
    }

    /** Parses elements separated by commas. Returns null if an element is invalid or repeated. */
    fun <T : Any> list(text: String, element: (String) -> T?): List<T>? {
        val parts = text.split(',').map { element(it.trim()) ?: return null }
        return parts.takeIf { it.distinct().size == it.size }
    }

    fun addresses(text: String): List<NetworkAddress>? =
        list(text, NetworkAddress::parse)?.takeIf { it.size <= MAXIMUM_ADDRESSES }

    private fun quantity(text: String, units: Map<String, Long>): Long? {
        val match = amount.matchEntire(text) ?: return null
        return units[match.groupValues[2]]?.let { match.groupValues[1].toLong() * it }
    }
}
