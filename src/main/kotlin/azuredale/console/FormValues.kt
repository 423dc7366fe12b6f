package azuredale.console

import azuredale.identity.NetworkAddress

/** Values of a submitted form. Reading an invalid value records an error for its field and returns a placeholder. */
internal class FormValues(private val values: Map<String, String>) {
    private val errorsByField = linkedMapOf<String, String>()

    /** Error messages by field, in the order in which the fields were read. */
    val errors: Map<String, String> get() = errorsByField

    /** Reads a name of letters, digits and `. _ @ -`, as the document allows it. */
    fun name(field: String): String {
        val value = text(field)
        if (!namePattern.matches(value)) errorsByField[field] = "use 1 to 63 letters, digits, '.', '_', '@' or '-'"
        return value
    }

    /** Reads a name; null if the field is empty. */
    fun optionalName(field: String): String? = if (text(field).isEmpty()) null else name(field)

    /** Reads names separated by commas or spaces. */
    fun names(field: String): Set<String> {
        val names = text(field).split(',', ' ').filter { it.isNotBlank() }.toSet()
        val invalidName = names.firstOrNull { !namePattern.matches(it) }
        if (invalidName != null) errorsByField[field] = "\"$invalidName\" is not a valid name"
        return names
    }

    /** Reads a number greater than zero. */
    fun positiveNumber(field: String): Double {
        val number = text(field).toDoubleOrNull()
        if (number == null || number <= 0 || !number.isFinite()) errorsByField[field] = "enter a number greater than 0"
        return number ?: 1.0
    }

    /** Reads an integer in [range]. */
    fun wholeNumber(field: String, range: IntRange): Int {
        val number = text(field).toIntOrNull()
        if (number == null ||
            number !in range
        ) {
            errorsByField[field] = "enter a whole number from ${range.first} to ${range.last}"
        }
        return number ?: range.first
    }

    /** Reads an IPv4 address with a port. */
    fun address(field: String): NetworkAddress {
        val address = NetworkAddress.parse(text(field))
        if (address == null) errorsByField[field] = "enter an IPv4 address and a port, such as 10.0.0.1:8080"
        return address ?: NetworkAddress("0.0.0.0", 1)
    }

    /** Reads one of [choices]. */
    fun choice(field: String, choices: List<String>): String {
        val value = text(field)
        if (value !in choices) errorsByField[field] = "choose one of ${choices.joinToString()}"
        return if (value in choices) value else choices.first()
    }

    /** Reads a single line of text, with surrounding whitespace removed. */
    fun line(field: String): String {
        val value = text(field)
        if (value.any { it.isISOControl() }) {
            errorsByField[field] =
                "enter a single line of text without control characters"
        }
        return value
    }

    private fun text(field: String): String = values[field].orEmpty().trim()

    private companion object {
        val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._@-]{0,62}")
    }
}
