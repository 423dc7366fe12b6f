package azuredale.configuration

/**
 * Definition of a key in a section.
 *
 * @property unit unit or type of the value, as shown in the reference documentation.
 * @property allowed accepted values, as shown in errors and in the reference documentation.
 * @property isSecret whether errors must not show the value.
 * @property read parses the text of a value, or returns null if it is invalid.
 */
internal class KeySchema<T : Any>(
    val name: String,
    val unit: String,
    val allowed: String,
    val isRequired: Boolean = false,
    val isSecret: Boolean = false,
    val read: (String) -> T?,
)

/** Definition of a kind of section and its keys. If [isNamed] is true, a name follows the kind in the header. */
internal class SectionSchema(
    val kind: String,
    val keys: List<KeySchema<*>>,
    val isNamed: Boolean = false,
    val name: Regex = ValueParsers.name,
    val nameAllowed: String = ValueParsers.NAME_ALLOWED,
) {
    /** Header as shown in errors and in the reference documentation. */
    val header: String get() = if (isNamed) "$kind NAME" else kind
}
