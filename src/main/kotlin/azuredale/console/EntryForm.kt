package azuredale.console

import azuredale.configuration.Document

/**
 * One input of a form.
 *
 * @property choices values to choose from, or null for free text.
 */
internal class FormField(
    val name: String,
    val label: String,
    val hint: String = "",
    val choices: List<String>? = null,
)

/**
 * A form for one kind of entry of the document.
 *
 * @property fields inputs; the first one holds the entry's key.
 * @property rows field values of every entry.
 * @property put reads an entry from a form and writes it into the document.
 */
internal class EntryForm(
    val kind: String,
    val title: String,
    val fields: List<FormField>,
    val rows: (Document) -> List<Map<String, String>>,
    private val put: (Document, FormValues) -> Document,
    private val remove: (Document, String) -> Document,
) {
    /** Name of the field that holds the entry's key. */
    val keyField: String get() = fields.first().name

    /** Writes the entry into [document], or returns the errors by field. */
    fun save(document: Document, values: Map<String, String>): FormResult {
        val form = FormValues(values)
        val changed = put(document, form)
        return if (form.errors.isEmpty()) FormResult.Accepted(changed) else FormResult.Rejected(form.errors)
    }

    /** The document without the entry of [key]. */
    fun delete(document: Document, key: String): Document = remove(document, key)
}

/** Result of saving a form. */
internal sealed interface FormResult {
    /** The draft with the entry in it. */
    data class Accepted(val document: Document) : FormResult

    /** The draft is unchanged; [errors] are shown beside their fields. */
    data class Rejected(val errors: Map<String, String>) : FormResult
}
