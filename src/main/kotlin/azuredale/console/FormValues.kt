package azuredale.console

import azuredale.identity.NetworkAddress

/** Values of a submitted form; reading a bad value records an error beside its field and returns a placeholder. */
internal class FormValues(private val values: Map<String, String>) {
    private val found = linkedMapOf<String, String>()

    /** Errors by field, in the order of reading. */
    val errors: Map<String, String> get() = found

    /** A name made of letters, digits and `. _ @ -`, as the document accepts it. */
    fun name(field: String): String {
        val value = text(field)
        if (!namePattern.matches(value)) found[field] = "use 1 to 63 letters, digits, '.', '_', '@' or '-'"
        return value
    }

    /** A name, or null when the field is empty. */
    fun optionalName(field: String): String? = if (text(field).isEmpty()) null else name(field)

    /** Names separated by commas or blanks. */
    fun names(field: String): Set<String> {
        val names = text(field).split(',', ' ').filter { it.isNotBlank() }.toSet()
        val bad = names.firstOrNull { !namePattern.matches(it) }
        if (bad != null) found[field] = "\"$bad\" is not a name"
        return names
    }

    /** A number greater than zero. */
    fun positiveNumber(field: String): Double {
        val number = text(field).toDoubleOrNull()
        if (number == null || number <= 0 || !number.isFinite()) found[field] = "enter a number greater than 0"
        return number ?: 1.0
    }

    /** A whole number in [range]. */
    fun wholeNumber(field: String, range: IntRange): Int {
        val number = text(field).toIntOrNull()
        if (number == null ||
            number !in range
        ) {
            found[field] = "enter a whole number from ${range.first} to ${range.last}"
        }
        return number ?: range.first
    }

    /** An IPv4 number with a port. */
    fun address(field: String): NetworkAddress {
        val address = NetworkAddress.parse(text(field))
        if (address == null) found[field] = "enter an IP number and a port, such as 10.0.0.1:8080"
        return address ?: NetworkAddress("0.0.0.0", 1)
    }

    /** One of [choices]. */
    fun choice(field: String, choices: List<String>): String {
        val value = text(field)
        if (value !in choices) found[field] = "choose one of ${choices.joinToString()}"
        return if (value in choices) value else choices.first()
    }

    /** One line of text without surrounding blanks. */
    fun line(field: String): String {
        val value = text(field)
        if (value.any { it.isISOControl() }) found[field] = "use one line of text"
        return value
    }

    private fun text(field: String): String = values[field].orEmpty().trim()

    private companion object {
        val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._@-]{0,62}")
    }
}
