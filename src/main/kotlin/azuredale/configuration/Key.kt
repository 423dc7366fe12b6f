package azuredale.configuration

/**
 * A key of a section.
 *
 * @property unit unit or type of the value, shown on the reference pages.
 * @property allowed bound shown in faults and on the reference pages.
 * @property isSecret whether faults must not show the value.
 * @property read converts the text, or returns null when it is not allowed.
 */
internal class Key<T : Any>(
    val name: String,
    val unit: String,
    val allowed: String,
    val isRequired: Boolean = false,
    val isSecret: Boolean = false,
    val read: (String) -> T?,
)

/** A kind of section with its keys; [isNamed] says whether the header has a name after the kind. */
internal class SectionRule(
    val kind: String,
    val keys: List<Key<*>>,
    val isNamed: Boolean = false,
    val name: Regex = Formats.name,
    val nameAllowed: String = Formats.NAME_ALLOWED,
) {
    /** Header as shown in faults and on the reference pages. */
    val header: String get() = if (isNamed) "$kind NAME" else kind
}
