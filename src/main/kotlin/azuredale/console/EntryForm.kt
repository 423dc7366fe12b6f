package azuredale.console

import azuredale.configuration.Document

/**
 * Input field of a form.
 *
 * @property choices allowed values, or null for free text.
 */
internal class FormField(
    val name: String,
    val label: String,
    val hint: String = "",
    val choices: List<String>? = null,
)

/**
 * Form for one kind of document entry.
 *
 * @property fields input fields; the first holds the entry's key.
 * @property rows returns the field values of every entry.
 * @property putEntry reads an entry from a form and returns the document with this entry added or replaced.
 * @property removeEntry returns the document without the entry of a key.
 */
internal class EntryForm(
    val kind: String,
    val title: String,
    val fields: List<FormField>,
    val rows: (Document) -> List<Map<String, String>>,
    private val putEntry: (Document, FormValues) -> Document,
    private val removeEntry: (Document, String) -> Document,
) {
    /** Name of the field that holds the entry's key. */
    val keyField: String get() = fields.first().name

    /** Returns [document] with the entry added or replaced, or the errors by field. */
    fun save(document: Document, values: Map<String, String>): FormResult {
        val form = FormValues(values)
        val changed = putEntry(document, form)
        return if (form.errors.isEmpty()) FormResult.Accepted(changed) else FormResult.Rejected(form.errors)
    }

    /** Returns [document] without the entry of [key]. */
    fun delete(document: Document, key: String): Document = removeEntry(document, key)
}

/** Result of saving a form. */
internal sealed interface FormResult {
    /** The entry is valid; [document] contains it. */
    data class Accepted(val document: Document) : FormResult

    /** The entry is invalid; [errors] are messages by field name. */
    data class Rejected(val errors: Map<String, String>) : FormResult
}
